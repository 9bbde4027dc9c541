#pragma once

/// LibConfig: from TOML files, in a folder or from the platform, to a validated configuration.

#include <LibConfig/Difference.h>
#include <LibConfig/Duration.h>
#include <LibConfig/Fault.h>
#include <LibConfig/FolderReader.h>
#include <LibConfig/FolderSource.h>
#include <LibConfig/HealthUrl.h>
#include <LibConfig/Parser.h>
#include <LibConfig/PlatformSource.h>
#include <LibConfig/Source.h>
#include <LibConfig/SourceFile.h>
#include <LibConfig/VmListSource.h>
