#pragma once

/// LibLoad: how much each upstream may get: limits over the fleet, slow start, health, fair choice, drains, retries and
/// overload. Knows no sockets, files or system clock.

#include <LibLoad/AnswerSizes.h>
#include <LibLoad/FailureEvidence.h>
#include <LibLoad/LoadController.h>
#include <LibLoad/LoadTypes.h>
#include <LibLoad/LocalChoice.h>
#include <LibLoad/LocalLoad.h>
#include <LibLoad/PeerReport.h>
#include <LibLoad/UpstreamLiveness.h>
#include <LibLoad/ZoneReachability.h>
