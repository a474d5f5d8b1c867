//! How far a proposal has come, from a read of its verdict; free of I/O.

use crate::protocol::ReadResponse;

/// How far a proposal has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalProgress {
    /// It was not judged yet, or the replica that was read lags.
    Pending,
    /// Not admitted, for these reasons.
    Rejected(Vec<String>),
    /// Admitted; for a contract that is all.
    Admitted,
    /// A rule set that these gateways have not acknowledged.
    Unacknowledged {
        /// The set's version.
        version: u64,
        /// Gateways with a session.
        gateways: Vec<String>,
    },
    /// From here on no gateway admits a call by an earlier set.
    InForce {
        /// The set's version.
        version: u64,
        /// But for these departed gateways, which go on by an earlier set without a session.
        unknown: Vec<String>,
    },
    /// Another rule set of the customer was admitted after it.
    Superseded {
        /// The set's version.
        version: u64,
        /// The later one.
        by: u64,
    },
}

/// How far the proposal has come whose verdict was read.
pub fn progress(response: &ReadResponse) -> ProposalProgress {
    let Some(verdict) = &response.verdict else {
        return ProposalProgress::Pending;
    };
    if !verdict.admitted {
        return ProposalProgress::Rejected(verdict.reasons.clone());
    }
    if verdict.set_version == 0 {
        return ProposalProgress::Admitted;
    }
    let version = verdict.set_version;
    let Some(in_force) = &response.in_force else {
        // A set that allows everything is removed once it is in force.
        return ProposalProgress::InForce {
            version,
            unknown: Vec::new(),
        };
    };
    if in_force.version > version {
        return ProposalProgress::Superseded {
            version,
            by: in_force.version,
        };
    }
    if in_force.in_force {
        return ProposalProgress::InForce {
            version,
            unknown: in_force.unknown.clone(),
        };
    }
    ProposalProgress::Unacknowledged {
        version,
        gateways: in_force.missing.clone(),
    }
}

#[cfg(test)]
mod tests;
