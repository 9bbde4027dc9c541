#pragma once

/// LibDataPath: receives packets, obtains a decision for each from the placement engine, and sends the results.

#include <LibDataPath/AdmissionControl.h>
#include <LibDataPath/FilterChain.h>
#include <LibDataPath/Filters.h>
#include <LibDataPath/PeerTable.h>
#include <LibDataPath/Pipeline.h>
#include <LibDataPath/PublishedValue.h>
#include <LibDataPath/ServiceTable.h>
#include <LibDataPath/UdpSocket.h>
#include <LibDataPath/Worker.h>
