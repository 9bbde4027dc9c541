#pragma once

/// LibPlacement: selects the upstream of each flow. Independent of sockets, files and the system clock.

#include <LibPlacement/Decision.h>
#include <LibPlacement/Engine.h>
#include <LibPlacement/MemberView.h>
#include <LibPlacement/TokenPlacer.h>
