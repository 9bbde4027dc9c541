#pragma once

/// LibLoad decides how many flows each upstream gets: fleet-wide limits, slow start, health, upstream selection,
/// drains, retries and overload protection. Uses no sockets, files or system clock.

#include <LibLoad/AdmissionController.h>
#include <LibLoad/LeastLoadedSelector.h>
#include <LibLoad/LoadController.h>
#include <LibLoad/LoadReport.h>
#include <LibLoad/LoadTypes.h>
#include <LibLoad/PeerReport.h>
#include <LibLoad/RequestFailureDetector.h>
#include <LibLoad/ReturningUpstreams.h>
#include <LibLoad/SharedLoadView.h>
#include <LibLoad/ShortResponseDetector.h>
#include <LibLoad/SpeedDistribution.h>
#include <LibLoad/SpilloverControl.h>
#include <LibLoad/UpstreamLiveness.h>
#include <LibLoad/UpstreamLoadCounter.h>
#include <LibLoad/UpstreamSpeed.h>
#include <LibLoad/ZoneReachability.h>
