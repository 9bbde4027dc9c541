#pragma once

/// LibBalancer: the decisions of a balancer that routes by tokens, put together without sockets or system clocks.

#include <LibBalancer/TokenBalancer.h>
