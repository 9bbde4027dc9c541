#pragma once

/// LibConfig: from a folder of TOML files to a validated configuration.

#include <LibConfig/FolderReader.h>
