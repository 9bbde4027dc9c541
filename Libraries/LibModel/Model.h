#pragma once

/// LibModel: the operators' configuration as typed values. LibConfig validates them before it creates these objects.

#include <LibModel/Configuration.h>
#include <LibModel/Text.h>
