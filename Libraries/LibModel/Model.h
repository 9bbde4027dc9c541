#pragma once

/// LibModel: the typed configuration that operators declare. Values are validated by LibConfig before they get here.

#include <LibModel/Configuration.h>
#include <LibModel/Text.h>
