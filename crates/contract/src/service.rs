//! Which servers are put in service by the version of their contract.

/// What is held back of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldBack {
    /// Whether each server is held back, in the order of the list.
    pub held: Vec<bool>,
    /// None of those in service has an admitted version, so none is held back: calls that an unadmitted version may misread are
    /// worse than none only where there is another to take them.
    pub last_resort: bool,
}

/// Servers that tell a version which was not admitted are held back, unless all that are in service are such. `told`: for each
/// server whether it is in service, and the service and version that it tells; one that tells none is not held back.
pub fn hold_back<'a>(
    told: impl Iterator<Item = (bool, Option<&'a str>)>,
    admits: impl Fn(&str, &str) -> bool,
) -> HoldBack {
    let admitted = |contract: &str| {
        let (service, version) = contract.split_once(' ').unwrap_or((contract, ""));
        admits(service, version)
    };
    let (mut held, mut in_service, mut left) = (Vec::new(), 0, 0);
    for (serves, contract) in told {
        let back = contract.is_some_and(|c| !admitted(c));
        in_service += usize::from(serves);
        left += usize::from(serves && !back);
        held.push(back);
    }
    let last_resort = in_service > 0 && left == 0;
    if last_resort {
        held.fill(false);
    }
    HoldBack { held, last_resort }
}

#[cfg(test)]
mod tests;
