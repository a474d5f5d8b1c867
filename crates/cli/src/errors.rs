//! Errors of the commands themselves. Errors of the packages that commands use stand there.

use std::io;

/// Why a proposal was not made, or has not come into force.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ProposalError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    #[diagnostic(
        code(chalkdeck::rules::file),
        help("see the path, and whether it may be read")
    )]
    File {
        /// Path of the file.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// The file is not the text form of the message.
    #[error("{file}:{line}: {what}")]
    #[diagnostic(
        code(chalkdeck::rules::form),
        help("docs/access.md and docs/contracts.md show each field")
    )]
    Form {
        /// Path of the file.
        file: String,
        /// Line of the file, from 1.
        line: usize,
        /// What was expected there, and what was found.
        what: String,
    },
    /// A field of the rule set is invalid.
    #[error("{file}: {what}")]
    #[diagnostic(
        code(chalkdeck::rules::wrong),
        help("docs/access.md has the meaning and bounds of each field")
    )]
    Wrong {
        /// Path of the file.
        file: String,
        /// The field and what was expected.
        what: String,
    },
    /// The registrar rejected the proposal.
    #[error("not admitted:\n  {}", breaks.join("\n  "))]
    #[diagnostic(
        code(chalkdeck::rules::rejected),
        help("nothing was changed; each line says what would break, and what can be done")
    )]
    Rejected {
        /// One line for each incompatibility.
        breaks: Vec<String>,
    },
    /// Some gateways did not acknowledge the rule set before the time-out.
    #[error("version {version} is admitted and not in force after {seconds} s: {} gateways have not said that they apply it: {}", missing.len(), missing.join(", "))]
    #[diagnostic(
        code(chalkdeck::rules::not_in_force),
        help("it comes into force when they apply it or their sessions lapse; `chalkdeck rules wait` asks again, and the same `apply` is harmless")
    )]
    NotInForce {
        /// Version of the rule set.
        version: u64,
        /// The time-out.
        seconds: u64,
        /// Names of these gateways.
        missing: Vec<String>,
    },
    /// No registrar judged the proposal before the time-out.
    #[error("proposal {proposal} waits for a registrar after {seconds} s")]
    #[diagnostic(
        code(chalkdeck::rules::not_judged),
        help("see `chalkdeck coordinator status`: the election 'registrar' needs a gateway with a session; the proposal stays")
    )]
    NotJudged {
        /// Number of the proposal.
        proposal: u64,
        /// The time-out.
        seconds: u64,
    },
}

/// Why a version of a service cannot be proposed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ProposedContractError {
    /// The schema does not compile.
    #[error("{file}: {what}")]
    #[diagnostic(
        code(chalkdeck::contract::schema),
        help("see the named file and line; --include names the folders that imports start at")
    )]
    Schema {
        /// Path of the file.
        file: String,
        /// The compiler's message.
        what: String,
    },
    /// The contract is invalid by itself.
    #[error("{file}: {source}")]
    #[diagnostic(
        code(chalkdeck::contract::wrong),
        help("docs/contracts.md has each field; every method wants a promise")
    )]
    Wrong {
        /// Path of the file.
        file: String,
        /// The compiler's or checker's error.
        source: chalkdeck_coordinator::registrar::ContractError,
    },
}
