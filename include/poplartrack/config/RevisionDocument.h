#pragma once

#include <memory>
#include <string>

#include "poplartrack/base/Result.h"
#include "poplartrack/config/Configuration.h"
#include "poplartrack/config/RevisionUpdate.h"

namespace poplartrack {

/**
 * A revision in the memory of a process: its canonical text, the parsed text
 * and the configuration. With the parsed text at hand, a step checks and
 * rebuilds only the models, services and accounts that it changes. At 7,400
 * accounts, reading everything again costs several times as much as the rest of
 * a change.
 */
class RevisionDocument
{
public:
  /** Creates the document of a canonical text, with the same checks as
   * fromRevisionText(). */
  static Result<RevisionDocument> create(std::string aText);

  RevisionDocument(RevisionDocument&& aOther) noexcept;
  RevisionDocument& operator=(RevisionDocument&& aOther) noexcept;
  ~RevisionDocument();

  /**
   * Applies the steps to a later revision. Nothing changes on an error:
   * - Conflict: the steps start at another revision.
   * - Malformed: they cannot be applied, or the result does not have their
   *   SHA-256. The caller should fetch the whole text.
   * - BadSettings: the result has their SHA-256, but its settings are invalid.
   */
  Result<Done> apply(const RevisionUpdate& aUpdate);

  [[nodiscard]] const std::string& text() const { return this->canonical; }
  [[nodiscard]] std::shared_ptr<const Configuration> configuration() const
  {
    return this->current;
  }

private:
  /** The parsed text; hides the JSON library from users of this header. */
  struct Parsed;

  RevisionDocument(std::string aText,
                   std::unique_ptr<Parsed> aParsed,
                   std::shared_ptr<const Configuration> aConfiguration);

  std::string canonical;
  std::unique_ptr<Parsed> parsed;
  std::shared_ptr<const Configuration> current;
};

} // namespace poplartrack
