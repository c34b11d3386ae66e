#pragma once

namespace lacewingsail {

struct ConfigurationChange;
struct ConfigurationCheckpoint;
struct KeyWithdrawal;
struct Problem;

} // namespace lacewingsail
