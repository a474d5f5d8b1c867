//! Holds back endpoints whose contract version was not admitted: they get no calls.

/// The contract that an endpoint announces in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointContract<'a> {
    /// Whether the endpoint is in service.
    pub is_in_service: bool,
    /// The service and the version, separated by a space; `None` if the endpoint announces no version.
    pub contract: Option<&'a str>,
}

/// Which endpoints of a list are held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HoldBack {
    /// Whether each endpoint is held back, in the order of the list.
    pub is_held_back: Vec<bool>,
    /// Whether no endpoint in service has an admitted version, so that none is held back. An unadmitted version may misread calls, but
    /// holding it back helps only if another endpoint can serve them.
    pub is_last_resort: bool,
}

/// Holds back each endpoint with a version for which `is_admitted` (given the service and the version) returns false, unless that would
/// hold back all endpoints in service. An endpoint that announces no version is not held back.
pub fn hold_back<'a>(
    endpoints: impl Iterator<Item = EndpointContract<'a>>,
    is_admitted: impl Fn(&str, &str) -> bool,
) -> HoldBack {
    let is_unadmitted = |contract: &str| {
        let (service, version) = contract.split_once(' ').unwrap_or((contract, ""));
        !is_admitted(service, version)
    };
    let mut is_held_back = Vec::new();
    let mut in_service_count = 0;
    let mut usable_count = 0;
    for endpoint in endpoints {
        let has_unadmitted_version = endpoint.contract.is_some_and(is_unadmitted);
        if endpoint.is_in_service {
            in_service_count += 1;
            usable_count += usize::from(!has_unadmitted_version);
        }
        is_held_back.push(has_unadmitted_version);
    }
    let is_last_resort = in_service_count > 0 && usable_count == 0;
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
