#pragma once

/// LibMembership: which balancers are alive. Knows no sockets, files, threads or system clock.

#include <LibMembership/Controller.h>
#include <LibMembership/Member.h>
#include <LibMembership/Options.h>
