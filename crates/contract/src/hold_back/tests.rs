//! Tests of `hold_back`.

use super::{hold_back, EndpointContract, HoldBack};

const ADMITTED: Option<&str> = Some("farm.v1.Farm 1");
const UNADMITTED: Option<&str> = Some("farm.v1.Farm 2");

fn in_service(contract: Option<&str>) -> EndpointContract<'_> {
    EndpointContract {
        is_in_service: true,
        contract,
    }
}

fn draining(contract: Option<&str>) -> EndpointContract<'_> {
    EndpointContract {
        is_in_service: false,
        contract,
    }
}

fn decide(endpoints: &[EndpointContract]) -> HoldBack {
    let is_admitted = |service: &str, version: &str| service == "farm.v1.Farm" && version == "1";
    hold_back(endpoints.iter().copied(), is_admitted)
}

#[test]
fn unadmitted_versions_are_held_back_unless_all_endpoints_in_service_are_unadmitted() {
    assert_eq!(
        decide(&[
            in_service(ADMITTED),
            in_service(UNADMITTED),
            in_service(None)
        ])
        .is_held_back,
        [false, true, false]
    );
    let all_unadmitted = decide(&[in_service(UNADMITTED), in_service(UNADMITTED)]);
    assert_eq!(
        (all_unadmitted.is_held_back, all_unadmitted.is_last_resort),
        (vec![false, false], true)
    );
    // A draining endpoint with an admitted version cannot serve the calls.
    assert!(decide(&[draining(ADMITTED), in_service(UNADMITTED)]).is_last_resort);
    assert!(!decide(&[draining(UNADMITTED)]).is_last_resort);
}
