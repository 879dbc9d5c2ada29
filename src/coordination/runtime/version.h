// The version of this program.
#pragma once

namespace rushtrestle::coordination {

const char* program_version();

}  // namespace rushtrestle::coordination
