#pragma once

/// LibBalancer: the complete decision logic of a balancer that routes by tokens. Doesn't depend on sockets or system
/// clocks.

#include <LibBalancer/TokenBalancer.h>
