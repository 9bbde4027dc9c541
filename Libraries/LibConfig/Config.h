#pragma once

/// LibConfig: from TOML files, in a folder or from the platform, to a validated configuration.

#include <LibConfig/Fault.h>
#include <LibConfig/FolderReader.h>
#include <LibConfig/Parser.h>
#include <LibConfig/Source.h>
#include <LibConfig/SourceFile.h>
