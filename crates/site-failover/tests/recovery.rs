//! Recovery of a site: along the recovery ramp, after the backoff, and with an operator's override.
mod fleet;

use chalkdeck_site_failover::{Event, FailoverCore, SiteId, SiteOverride, SiteState};
use chalkdeck_time::Timestamp;
use fleet::{listed_endpoint, millis, settings, Behavior, Fleet, HEALTHY, SECOND};

fn set_override(fleet: &mut Fleet, site: u32, site_override: SiteOverride) {
    let site = SiteId(site);
    let event = Event::OverrideSet {
        site,
        site_override,
    };
    fleet.handle(0, event);
}

#[test]
fn recovery_ramps_up_by_steps() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, Behavior::Refuses);
    fleet.run_until(SECOND * 2, |fleet| fleet.state(0, 0) == SiteState::Lost);
    fleet.run(SECOND * 5);
    fleet.set_behavior(0, HEALTHY);
    fleet.started_at[0] = Some(fleet.now);
    fleet.publish_list();
    fleet.run_until(SECOND * 10, |fleet| {
        fleet.state(0, 0) == SiteState::Returning
    });
    let mut steps = vec![fleet.site(0, 0).ramp_fraction];
    fleet.run_until(SECOND * 60, |fleet| {
        let ramp = fleet.site(0, 0).ramp_fraction;
        if steps.last() != Some(&ramp) {
            steps.push(ramp);
        }
        fleet.state(0, 0) == SiteState::Serving
    });
    assert!(steps.len() >= 6, "{steps:?}");
    assert!(
        steps.windows(2).all(|pair| pair[1] <= pair[0] * 1.7),
        "a step is too large: {steps:?}"
    );
}

#[test]
fn late_answers_during_recovery_lead_to_a_step_down() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, Behavior::Refuses);
    fleet.run_until(SECOND * 2, |fleet| fleet.state(0, 0) == SiteState::Lost);
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, HEALTHY);
    fleet.run_until(SECOND * 30, |fleet| {
        fleet.state(0, 0) == SiteState::Returning && fleet.site(0, 0).ramp_fraction > 0.4
    });
    let before = fleet.site(0, 0).ramp_fraction;
    fleet.set_behavior(0, Behavior::Answers(millis(480)));
    fleet.run_until(SECOND * 5, |fleet| fleet.site(0, 0).ramp_fraction < before);
    assert!(fleet.state(0, 0) == SiteState::Returning);
}

#[test]
fn flapping_site_gets_a_longer_backoff_each_time_up_to_a_limit() {
    let mut fleet = Fleet::new();
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        fleet.set_behavior(0, Behavior::Refuses);
        fleet.run_until(SECOND * 3, |fleet| fleet.state(0, 0) == SiteState::Lost);
        backoffs.push(fleet.site(0, 0).evidence.backoff_until - fleet.now);
        fleet.set_behavior(0, HEALTHY);
        fleet.run_until(SECOND * 80, |fleet| fleet.state(0, 0) != SiteState::Lost);
    }
    assert!(
        backoffs.windows(2).all(|pair| pair[1] >= pair[0]),
        "{backoffs:?}"
    );
    assert!(
        backoffs[0] <= SECOND && backoffs[7] > SECOND * 30 && backoffs[7] <= SECOND * 32,
        "{backoffs:?}"
    );
}

#[test]
fn relisted_site_returns_only_after_its_first_answer() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND);
    fleet.is_listed[0] = false;
    fleet.publish_list();
    assert_eq!(fleet.state(1, 0), SiteState::Lost);
    fleet.is_listed[0] = true;
    fleet.now = fleet.now + SECOND * 5;
    fleet.publish_list();
    assert_eq!(
        fleet.state(1, 0),
        SiteState::Lost,
        "it has not answered yet"
    );
    fleet.run_until(SECOND * 30, |fleet| {
        fleet.state(1, 0) == SiteState::Returning
    });
}

#[test]
fn drained_site_stays_out_of_service_until_it_is_restored() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    set_override(&mut fleet, 0, SiteOverride::Drain);
    fleet.run(SECOND * 5);
    let site = fleet.site(0, 0);
    assert_eq!((site.state, site.share), (SiteState::HeldOut, 0.0));
    // Another site is lost: the third one gets all load, and the drained one still gets none.
    fleet.set_behavior(1, Behavior::Refuses);
    fleet.run_until(SECOND * 3, |fleet| fleet.state(0, 1) == SiteState::Lost);
    let plan = fleet.plan(0);
    assert!(
        plan.sites[0].share == 0.0 && plan.sites[2].share > 0.95,
        "{plan:?}"
    );
    set_override(&mut fleet, 0, SiteOverride::Restore);
    assert_eq!(fleet.state(0, 0), SiteState::Returning);
    fleet.run_until(SECOND * 40, |fleet| fleet.state(0, 0) == SiteState::Serving);
}

#[test]
fn held_out_site_gets_no_load_even_if_all_others_are_silent() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND);
    set_override(&mut fleet, 0, SiteOverride::HoldOut);
    for site in 1..3 {
        fleet.set_behavior(site, Behavior::Silent);
    }
    fleet.run(SECOND * 10);
    assert_eq!(fleet.site(0, 0).share, 0.0);
}

#[test]
fn new_gateway_starts_a_recovery_ramp_for_a_site_with_cold_endpoints() {
    let mut fleet = Fleet::new();
    fleet.started_at[0] = Some(fleet.now);
    fleet.cores[0] = FailoverCore::new(settings(0));
    fleet.publish_list();
    let site = fleet.site(0, 0);
    assert!(
        site.state == SiteState::Returning && site.ramp_fraction < 0.3 && site.share < 0.1,
        "{site:?}"
    );
}

#[test]
fn restarted_endpoints_do_not_start_a_recovery_of_their_site() {
    let mut fleet = Fleet::new();
    fleet.started_at[0] = Some(Timestamp::from_micros(1));
    fleet.now = Timestamp::ZERO + SECOND * 20;
    fleet.publish_list();
    fleet.run(SECOND);
    fleet.started_at[0] = Some(fleet.now);
    fleet.publish_list();
    assert_eq!(fleet.state(0, 0), SiteState::Serving);
}

#[test]
fn warm_site_serves_at_once_and_one_cold_endpoint_of_four_lowers_the_ramp_by_a_quarter() {
    let mut fleet = Fleet::new();
    assert_eq!(fleet.state(0, 0), SiteState::Serving);
    let now = fleet.now + SECOND * 9;
    let entries = [
        listed_endpoint(0, 0, Some(now)),
        listed_endpoint(1, 0, None),
        listed_endpoint(2, 0, None),
        listed_endpoint(3, 0, Some(Timestamp::from_micros(1))),
    ];
    let mut core = FailoverCore::new(settings(0));
    core.handle(now, Event::EndpointListUpdated(&entries));
    assert_eq!(core.plan(now).sites[0].ramp_fraction, 0.75);
}
