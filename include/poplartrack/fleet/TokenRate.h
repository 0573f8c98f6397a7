#pragma once

namespace poplartrack {

/** What callers ask of a model service, in tokens and requests a second. */
struct TokenRate
{
  double prompt = 0;
  double answer = 0;
  /** 0 where only the tokens are known. */
  double requests = 0;
  /** Urgency of the requests, from 0, the most urgent, to 9: the mean, weighted
   * by their tokens. */
  double urgency = 0;

  [[nodiscard]] double tokens() const { return this->prompt + this->answer; }
  TokenRate& operator+=(const TokenRate& aOther)
  {
    const double sum = this->tokens() + aOther.tokens();
    if (sum > 0) {
      this->urgency =
        (this->urgency * this->tokens() + aOther.urgency * aOther.tokens()) /
        sum;
    }
    this->prompt += aOther.prompt;
    this->answer += aOther.answer;
    this->requests += aOther.requests;
    return *this;
  }

  friend bool operator==(const TokenRate&, const TokenRate&) = default;
};

} // namespace poplartrack
