#pragma once

/// LibLoad: how much each upstream may get: limits over the fleet, slow start, health, fair choice, drains, retries and
/// overload. Knows no sockets, files or system clock.

#include <LibLoad/LeastLoadedSelector.h>
#include <LibLoad/LoadController.h>
#include <LibLoad/LoadTypes.h>
#include <LibLoad/PeerReport.h>
#include <LibLoad/RequestFailureDetector.h>
#include <LibLoad/ShortResponseDetector.h>
#include <LibLoad/UpstreamLiveness.h>
#include <LibLoad/UpstreamLoadCounter.h>
#include <LibLoad/ZoneReachability.h>
