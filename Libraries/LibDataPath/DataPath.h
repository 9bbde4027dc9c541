#pragma once

/// LibDataPath: moves packets between sockets and the decisions of the placement engine.

#include <LibDataPath/FilterChain.h>
#include <LibDataPath/Filters.h>
#include <LibDataPath/UdpSocket.h>
#include <LibDataPath/Worker.h>
