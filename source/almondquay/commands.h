#pragma once

#include "almondquay/command_line.h"
#include "almondquay/operator_session.h"

#include <iosfwd>

/// The commands of the operators' command-line tool. Each prints its output and returns its result
/// code.
namespace almondquay {

result_code run_check(const command_line& c);
result_code run_apply(operator_session& session, const command_line& c);
result_code run_show(operator_session& session, const command_line& c);
result_code run_drain(operator_session& session, const command_line& c);
result_code run_status(operator_session& session, const command_line& c);
result_code run_timeline(operator_session& session, const command_line& c);
result_code run_release(operator_session& session, const command_line& c);
result_code run_explain(operator_session& session, const command_line& c);

result_code run_trace(const command_line& c);
result_code run_believed(const command_line& c);

/// Prints "almondquay: 2004 platform_conflict: ..." and returns the code.
result_code report_error(const error& e);

/// Reads a whole file. Errors: text_unreadable.
result<std::string> read_file(const std::string& path);

/// The login name of the operator, stored with each change; "unknown" if USER is not set.
std::string operator_name();

} // namespace almondquay
