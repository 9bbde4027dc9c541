#pragma once

/// LibCore: clock interface, IP addresses, flow keys, identifiers and hashing. Doesn't depend on sockets,
/// threads or files.

#include <LibCore/Clock.h>
#include <LibCore/FlowKey.h>
#include <LibCore/Hash.h>
#include <LibCore/Id.h>
#include <LibCore/IpAddress.h>
#include <LibCore/Revision.h>
