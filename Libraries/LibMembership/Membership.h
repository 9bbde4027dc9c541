#pragma once

/// LibMembership: detects which balancers are alive. Uses no sockets, files, threads or system clock.

#include <LibMembership/Controller.h>
#include <LibMembership/Member.h>
#include <LibMembership/Options.h>
