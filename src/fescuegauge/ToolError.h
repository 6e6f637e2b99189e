#ifndef FESCUEGAUGE_TOOLERROR_H
#define FESCUEGAUGE_TOOLERROR_H

#include "Fescuegauge/ErrorKind.h"

#include <boost/leaf/error.hpp>
#include <string>

namespace fescuegauge {

/// Why a command failed; the LEAF error object of the tool.
struct ToolError {
  ErrorKind m_Kind;
  std::string m_Message;
};

/// Shorthand for the usual return of a failed command.
inline boost::leaf::error_id toolError(ErrorKind Kind, std::string Message) {
  return boost::leaf::new_error(ToolError{Kind, std::move(Message)});
}

/// True for failures that another instance or a later attempt may not have.
inline bool mayBeRepeated(ErrorKind Kind) {
  return errorAnswer(Kind).m_ExitCode == errorAnswer(ErrorKind::NotReady).m_ExitCode;
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_TOOLERROR_H
