#pragma once

namespace lacewingsail {

struct ConfigurationChange;
struct KeyWithdrawal;
struct Problem;

} // namespace lacewingsail
