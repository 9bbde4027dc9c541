#pragma once

/// LibDataPath: moves packets between sockets and the decisions of the placement engine.

#include <LibDataPath/AdmissionControl.h>
#include <LibDataPath/FilterChain.h>
#include <LibDataPath/Filters.h>
#include <LibDataPath/PeerTable.h>
#include <LibDataPath/Pipeline.h>
#include <LibDataPath/PublishedValue.h>
#include <LibDataPath/ServiceTable.h>
#include <LibDataPath/UdpSocket.h>
#include <LibDataPath/Worker.h>
