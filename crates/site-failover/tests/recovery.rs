//! How a site comes back: by steps, after a hold-out, and under an operator's override.
mod fleet;

use chalkdeck_site_failover::{Event, FailoverCore, SiteId, SiteOverride, SiteState};
use chalkdeck_time::Timestamp;
use fleet::{listed_endpoint, millis, settings, Behavior, Fleet, SECOND, USUAL};

fn set_override(fleet: &mut Fleet, site: u32, site_override: SiteOverride) {
    let site = SiteId(site);
    let event = Event::OverrideSet {
        site,
        site_override,
    };
    fleet.tell(0, event);
}

#[test]
fn recovery_ramps_up_by_steps() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, Behavior::Refuses);
    fleet.run_until(SECOND * 2, |fleet| fleet.state(0, 0) == SiteState::Lost);
    fleet.run(SECOND * 5);
    fleet.set_behavior(0, USUAL);
    fleet.started[0] = Some(fleet.now);
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
        "no jump: {steps:?}"
    );
}

#[test]
fn late_answers_during_recovery_give_a_step_back() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, Behavior::Refuses);
    fleet.run_until(SECOND * 2, |fleet| fleet.state(0, 0) == SiteState::Lost);
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, USUAL);
    fleet.run_until(SECOND * 30, |fleet| {
        fleet.state(0, 0) == SiteState::Returning && fleet.site(0, 0).ramp_fraction > 0.4
    });
    let before = fleet.site(0, 0).ramp_fraction;
    fleet.set_behavior(0, Behavior::Answers(millis(480)));
    fleet.run_until(SECOND * 5, |fleet| fleet.site(0, 0).ramp_fraction < before);
    assert!(fleet.state(0, 0) == SiteState::Returning);
}

#[test]
fn flapping_site_is_held_out_longer_each_time_up_to_a_limit() {
    let mut fleet = Fleet::new();
    let mut hold_outs = Vec::new();
    for _ in 0..8 {
        fleet.set_behavior(0, Behavior::Refuses);
        fleet.run_until(SECOND * 3, |fleet| fleet.state(0, 0) == SiteState::Lost);
        hold_outs.push(fleet.site(0, 0).evidence.backoff_until - fleet.now);
        fleet.set_behavior(0, USUAL);
        fleet.run_until(SECOND * 80, |fleet| fleet.state(0, 0) != SiteState::Lost);
    }
    assert!(
        hold_outs.windows(2).all(|pair| pair[1] >= pair[0]),
        "{hold_outs:?}"
    );
    assert!(
        hold_outs[0] <= SECOND && hold_outs[7] > SECOND * 30 && hold_outs[7] <= SECOND * 32,
        "{hold_outs:?}"
    );
}

#[test]
fn site_that_the_list_names_again_returns_only_after_its_first_answer() {
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
        "there was no answer from it yet"
    );
    fleet.run_until(SECOND * 30, |fleet| {
        fleet.state(1, 0) == SiteState::Returning
    });
}

#[test]
fn drained_site_stays_out_whatever_it_answers_until_it_is_restored() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    set_override(&mut fleet, 0, SiteOverride::Drain);
    fleet.run(SECOND * 5);
    let site = fleet.site(0, 0);
    assert_eq!((site.state, site.share), (SiteState::HeldOut, 0.0));
    // Another is lost meanwhile: the third bears all, and the drained one stays out.
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
fn held_out_site_gets_nothing_even_if_all_others_are_silent() {
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
fn gateway_that_starts_beside_cold_endpoints_begins_as_in_a_recovery() {
    let mut fleet = Fleet::new();
    fleet.started[0] = Some(fleet.now);
    fleet.cores[0] = FailoverCore::new(settings(0));
    fleet.publish_list();
    let site = fleet.site(0, 0);
    assert!(
        site.state == SiteState::Returning && site.ramp_fraction < 0.3 && site.share < 0.1,
        "{site:?}"
    );
}

#[test]
fn restarted_endpoints_do_not_make_their_site_return() {
    let mut fleet = Fleet::new();
    fleet.started[0] = Some(Timestamp::from_micros(1));
    fleet.now = Timestamp::ZERO + SECOND * 20;
    fleet.publish_list();
    fleet.run(SECOND);
    fleet.started[0] = Some(fleet.now);
    fleet.publish_list();
    assert_eq!(fleet.state(0, 0), SiteState::Serving);
}

#[test]
fn warm_site_serves_at_once_and_one_cold_endpoint_of_four_takes_its_part_off() {
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
