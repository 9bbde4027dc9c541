#pragma once

/// LibMessages: the messages between balancers (Thrift, compact protocol) and their authenticated envelope.

#include <LibMessages/Envelope.h>
#include <LibMessages/PeerKey.h>
#include <LibMessages/ReplayWindow.h>
#include <LibMessages/gen/distribution_types.h>
#include <LibMessages/gen/load_types.h>
#include <LibMessages/gen/membership_types.h>
#include <LibMessages/gen/peer_types.h>
#include <LibMessages/gen/placement_types.h>
