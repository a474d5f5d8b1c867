//! Errors of the commands. The packages that the commands use define their own errors.

use std::io;

/// Why a proposal was not submitted, was rejected, or is not in force yet.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ProposalError {
    /// The file cannot be read.
    #[error("{file}: {source}")]
    #[diagnostic(
        code(chalkdeck::rules::file),
        help("see the path, and whether it may be read")
    )]
    File {
        /// The path of the file.
        file: String,
        /// The system's error.
        source: io::Error,
    },
    /// The file is not valid protobuf text of the message.
    #[error("{file}:{line}: {what}")]
    #[diagnostic(
        code(chalkdeck::rules::form),
        help("docs/access.md and docs/contracts.md show each field")
    )]
    Form {
        /// The path of the file.
        file: String,
        /// The line in the file, counted from 1.
        line: usize,
        /// What the parser expected on that line, and what it found.
        what: String,
    },
    /// A field of the rule set is invalid.
    #[error("{file}: {what}")]
    #[diagnostic(
        code(chalkdeck::rules::wrong),
        help("docs/access.md has the meaning and bounds of each field")
    )]
    Wrong {
        /// The path of the file.
        file: String,
        /// The field and its expected value.
        what: String,
    },
    /// The registrar rejected the proposal.
    #[error("not admitted:\n  {}", reasons.join("\n  "))]
    #[diagnostic(
        code(chalkdeck::rules::rejected),
        help("nothing was changed; each line says what would break, and what can be done")
    )]
    Rejected {
        /// One reason per line.
        reasons: Vec<String>,
    },
    /// Some gateways did not acknowledge the rule set before the timeout.
    #[error("version {version} is admitted and not in force after {seconds} s: {} gateways have not said that they apply it: {}", missing.len(), missing.join(", "))]
    #[diagnostic(
        code(chalkdeck::rules::not_in_force),
        help("it comes into force when they apply it or their sessions lapse; `chalkdeck rules wait` asks again, and the same `apply` is harmless")
    )]
    NotInForce {
        /// The version of the rule set.
        version: u64,
        /// The timeout, in seconds.
        seconds: u64,
        /// Names of the gateways that did not acknowledge it.
        missing: Vec<String>,
    },
    /// The registrar did not admit or reject the proposal before the timeout.
    #[error("proposal {proposal} waits for a registrar after {seconds} s")]
    #[diagnostic(
        code(chalkdeck::rules::not_judged),
        help("see `chalkdeck coordinator status`: the election 'registrar' needs a gateway with a session; the proposal stays")
    )]
    NotJudged {
        /// The proposal's number.
        proposal: u64,
        /// The timeout, in seconds.
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
        /// The path of the file.
        file: String,
        /// The compiler's message.
        what: String,
    },
    /// The contract is invalid, independent of other versions.
    #[error("{file}: {source}")]
    #[diagnostic(
        code(chalkdeck::contract::wrong),
        help("docs/contracts.md has each field; every method wants a promise")
    )]
    Wrong {
        /// The path of the file.
        file: String,
        /// The error found in the contract.
        source: chalkdeck_coordinator::registrar::ContractError,
    },
}
