// The version of this program, as the build defines it (RUSHTRESTLE_VERSION).
#pragma once

namespace rushtrestle::coordination {

const char* program_version();

}  // namespace rushtrestle::coordination
