//===- EngineSpeed.h - Work that a request means for a batching server ----===//
#ifndef RAGWORT_DISPATCH_ENGINESPEED_H
#define RAGWORT_DISPATCH_ENGINESPEED_H

namespace ragwort::dispatch {

/// Speed of a service's engines and the usual size of its requests, as its
/// operators publish them; 0 where unknown.
///
/// \code
///   double Work = Speed.requestMillis(Prompt, Answer) /
///                 Speed.requestMillis(Speed.UsualPrompt, Speed.UsualAnswer);
/// \endcode
struct EngineSpeed {
  /// Time of one step for each request that writes, and for each 1,000 tokens
  /// of its context, in milliseconds.
  double RequestMillis = 0;
  double ContextMillis = 0;
  /// Prompt tokens read in a millisecond.
  double ReadPerMilli = 0;
  /// Mean number of tokens of a prompt and of an answer.
  double UsualPrompt = 0;
  double UsualAnswer = 0;

  /// Time for reading a prompt of \p Tokens alone.
  double readMillis(double Tokens) const {
    return ReadPerMilli > 0 ? Tokens / ReadPerMilli : 0;
  }
  /// By how much a request with these numbers of tokens lengthens the passes of
  /// its server in all.
  double requestMillis(double Prompt, double Answer) const {
    double Context = (Prompt + Answer / 2) / 1000;
    return readMillis(Prompt) +
           Answer * (RequestMillis + ContextMillis * Context);
  }
};

} // namespace ragwort::dispatch

#endif
