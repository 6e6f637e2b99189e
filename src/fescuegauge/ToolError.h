#ifndef FESCUEGAUGE_TOOLERROR_H
#define FESCUEGAUGE_TOOLERROR_H

#include "Fescuegauge/ErrorKind.h"

#include <boost/leaf/error.hpp>
#include <string>

namespace fescuegauge {

/// The LEAF error object of a failed command.
struct ToolError {
  ErrorKind m_Kind;
  std::string m_Message;
};

/// Creates the LEAF error that a failed command returns.
inline boost::leaf::error_id toolError(ErrorKind Kind, std::string Message) {
  return boost::leaf::new_error(ToolError{Kind, std::move(Message)});
}

/// True for errors that may not occur with another instance or at a later attempt.
inline bool isRetryable(ErrorKind Kind) {
  return errorAnswer(Kind).m_ExitCode == errorAnswer(ErrorKind::NotReady).m_ExitCode;
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_TOOLERROR_H
