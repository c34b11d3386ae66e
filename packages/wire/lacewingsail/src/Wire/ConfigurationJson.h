#pragma once

#include "JsonReader.h"

#include <lacewingsail/World.h>

#include <string>

namespace lacewingsail::internal {

/// \brief Each reads a value, adding what is wrong to \p problems; the result then means nothing.
Configuration readConfiguration(const boost::json::value&, const std::string& path, Problems& problems);
ConfigurationEdits readEdits(const boost::json::value&, const std::string& path, Problems& problems);

boost::json::object toJson(const Configuration&);
boost::json::object toJson(const ConfigurationEdits&);

} // namespace lacewingsail::internal
