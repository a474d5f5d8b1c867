//! How far a proposal has come, from a look at it; free of I/O.

use chalkdeck_proto::chalkdeck::keeper::v1 as wire;

/// See the parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No registrar has judged it yet, or the keeper that was asked is behind.
    Waits,
    /// Not admitted: what it would break.
    Rejected(Vec<String>),
    /// Admitted; of a contract that is all.
    Admitted,
    /// A set that these gateways have not said to apply.
    Missing {
        /// The set's version.
        version: u64,
        /// Gateways with a session.
        gateways: Vec<String>,
    },
    /// From here on no gateway admits a call by an earlier set.
    InForce {
        /// The set's version.
        version: u64,
        /// But for these, which are cut off under a set that is kept then: nobody can speak for them.
        unknown: Vec<String>,
    },
    /// Another set of the customer came after it.
    Followed {
        /// The set's version.
        version: u64,
        /// The later one.
        by: u64,
    },
}

/// Reads a look at a proposal's verdict.
pub fn progress(look: &wire::LookAnswer) -> Progress {
    let Some(verdict) = &look.verdict else {
        return Progress::Waits;
    };
    if !verdict.admitted {
        return Progress::Rejected(verdict.breaks.clone());
    }
    if verdict.set_version == 0 {
        return Progress::Admitted;
    }
    let version = verdict.set_version;
    match &look.in_force {
        // A set that allows everything is forgotten once it is in force.
        None => Progress::InForce {
            version,
            unknown: Vec::new(),
        },
        Some(of) if of.version > version => Progress::Followed {
            version,
            by: of.version,
        },
        Some(of) if of.in_force => Progress::InForce {
            version,
            unknown: of.unknown.clone(),
        },
        Some(of) => Progress::Missing {
            version,
            gateways: of.missing.clone(),
        },
    }
}

#[cfg(test)]
mod tests;
