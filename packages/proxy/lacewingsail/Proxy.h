#pragma once

/// \brief Umbrella header of the package `proxy`: the path of a request from the caller to a backend server and
/// back. Boost headers stay in the sources.

#include <lacewingsail/Observe.h>
#include <lacewingsail/Policy.h>
#include <lacewingsail/World.h>

#include "src/Proxy/ForwardDeclarations.h"

#include "src/Proxy/ProxyServer.h"
#include "src/Proxy/SnapshotCell.h"
