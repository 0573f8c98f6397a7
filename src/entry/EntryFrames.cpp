#include "poplartrack/entry/EntryServer.h"
#include "poplartrack/wire/AnswerFrame.h"
#include "poplartrack/wire/ConfigFetch.h"

namespace poplartrack {

void
EntryServer::onFrame(const std::string& aFrame, const Responder& aRespond)
{
  if (!this->assembled) {
    aRespond(encode(TokenReply{
      Refusal::of(fail(ErrorKind::NoConfiguration, "still starting")) }));
    return;
  }
  const Result<MessageKind> kind = kindOf(aFrame);
  switch (kind ? kind.value() : MessageKind::TokenReply) {
    case MessageKind::TokenReady:
      answerFrame<TokenReady, TokenReply>(
        aFrame, aRespond, [this](const TokenReady& aToken) {
          return this->models->onToken(aToken);
        });
      return;
    case MessageKind::StageTrouble:
      answerFrame<StageTrouble, TroubleReply>(
        aFrame, aRespond, [this](const StageTrouble& aTrouble) {
          this->models->onTrouble(aTrouble);
          return TroubleReply{};
        });
      return;
    case MessageKind::ConfigFetch:
      answerFrame<ConfigFetch, ConfigReply>(
        aFrame, aRespond, [this](const ConfigFetch& aFetch) {
          return this->configuration->answer(aFetch);
        });
      return;
    case MessageKind::ShareWishes:
      answerFrame<ShareWishes, ShareGrants>(
        aFrame, aRespond, [this](const ShareWishes& aWishes) {
          return this->shares->answer(aWishes);
        });
      return;
    default:
      this->metrics.countRefusal(ErrorKind::Malformed);
      aRespond(encode(TokenReply{
        Refusal::of(fail(ErrorKind::Malformed, "no message for an entry")) }));
  }
}

} // namespace poplartrack
