//! Which servers get no calls because the version of their contract was not admitted.

/// What a server announces in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerContract<'a> {
    /// Whether it is in service.
    pub is_in_service: bool,
    /// The service and the version, parted by a space; `None` if it announces none.
    pub contract: Option<&'a str>,
}

/// Which servers of a list are held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldBack {
    /// For each server, in the order of the list, whether it is held back.
    pub is_held_back: Vec<bool>,
    /// No server in service has an admitted version, so that none is held back: calls that an unadmitted version may misread are worse
    /// than none only where another server can take them.
    pub is_last_resort: bool,
}

/// Holds back the servers with a version that `is_admitted` (given the service and the version) denies, unless all servers in
/// service are such. A server that announces no version is not held back.
pub fn hold_back<'a>(
    servers: impl Iterator<Item = ServerContract<'a>>,
    is_admitted: impl Fn(&str, &str) -> bool,
) -> HoldBack {
    let is_unadmitted = |contract: &str| {
        let (service, version) = contract.split_once(' ').unwrap_or((contract, ""));
        !is_admitted(service, version)
    };
    let mut is_held_back = Vec::new();
    let mut in_service = 0;
    let mut usable = 0;
    for server in servers {
        let is_held = server.contract.is_some_and(is_unadmitted);
        if server.is_in_service {
            in_service += 1;
            usable += usize::from(!is_held);
        }
        is_held_back.push(is_held);
    }
    let is_last_resort = in_service > 0 && usable == 0;
    if is_last_resort {
        is_held_back.fill(false);
    }
    HoldBack {
        is_held_back,
        is_last_resort,
    }
}

#[cfg(test)]
mod tests;
