//! Detection of the loss of a site, as opposed to a partition, overload and the loss of single endpoints.
mod fleet;

use chalkdeck_site_failover::{
    AttemptEvidence, EndedAttempt, EndpointConcurrency, EndpointId, Event, FailoverCore, SiteState,
};
use fleet::{millis, settings, Behavior, Fleet, HEALTHY, SECOND};

#[test]
fn without_faults_all_load_stays_at_the_own_site() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 5);
    for gateway in 0..3 {
        assert_eq!(fleet.site(gateway, gateway).share, 1.0);
        let plan = fleet.plan(gateway);
        assert!(plan
            .sites
            .iter()
            .all(|site| site.state == SiteState::Serving));
    }
}

#[test]
fn site_that_refuses_connections_is_lost_and_its_load_goes_to_the_others() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, Behavior::Refuses);
    let detection_time = fleet.run_until(SECOND, |fleet| fleet.state(0, 0) == SiteState::Lost);
    assert!(
        detection_time < millis(300),
        "detected after {detection_time:?}"
    );
    let plan = fleet.plan(0);
    let (first, second) = (plan.sites[1].share, plan.sites[2].share);
    assert!(
        (first - second).abs() < 0.01 && first > 0.45,
        "the two other sites share the load: {first} {second}"
    );
}

#[test]
fn silent_site_is_lost_whether_or_not_the_list_drops_it() {
    for list_drops_site in [true, false] {
        let mut fleet = Fleet::new();
        fleet.run(SECOND * 2);
        fleet.set_behavior(0, Behavior::Silent);
        fleet.run_until(SECOND * 2, |fleet| fleet.state(0, 0) == SiteState::Lost);
        fleet.run(SECOND * 5);
        if list_drops_site {
            fleet.is_listed[0] = false;
            fleet.publish_list();
            assert_eq!(
                fleet.state(1, 0),
                SiteState::Lost,
                "lost because the list has no endpoint of it"
            );
            assert_eq!(fleet.site(1, 0).share, 0.0);
        }
        fleet.run(SECOND);
        assert_eq!(fleet.state(0, 0), SiteState::Lost);
        assert!(fleet.site(0, 0).share <= 0.02, "only probes");
    }
}

#[test]
fn sites_are_cut_off_when_only_the_own_site_answers() {
    let mut fleet = Fleet::new();
    // The own site is congested, so that the gateway sends some load to each site.
    fleet.behavior[0][0] = [Behavior::Answers(millis(450)); 4];
    fleet.run(SECOND * 4);
    assert!(fleet.site(0, 1).share > 0.1, "{:?}", fleet.plan(0));
    fleet.behavior[0][1] = [Behavior::Silent; 4];
    fleet.behavior[0][2] = [Behavior::Silent; 4];
    fleet.run_until(SECOND * 4, |fleet| {
        (1..3).all(|site| fleet.state(0, site) == SiteState::CutOff)
    });
    assert_eq!(
        (fleet.state(1, 2), fleet.state(2, 1)),
        (SiteState::Serving, SiteState::Serving),
        "the other gateways reach all sites"
    );
}

#[test]
fn with_two_sites_the_counter_tells_a_partition_from_a_loss() {
    let cases = [
        (Event::CounterFailed, SiteState::CutOff),
        (Event::CounterReplied, SiteState::Lost),
    ];
    for (counter, state) in cases {
        let mut fleet = Fleet::new();
        fleet.is_listed[2] = false;
        fleet.behavior[0][0] = [Behavior::Answers(millis(450)); 4];
        fleet.publish_list();
        fleet.run(SECOND * 4);
        fleet.behavior[0][1] = [Behavior::Silent; 4];
        fleet.run_until(SECOND * 4, |fleet| {
            fleet.handle(0, counter);
            fleet.state(0, 1).is_out_of_service()
        });
        assert_eq!(fleet.state(0, 1), state);
    }
}

#[test]
fn site_is_not_lost_when_half_of_its_endpoints_are_silent() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    for seen_from_gateway in &mut fleet.behavior {
        seen_from_gateway[0][0] = Behavior::Silent;
        seen_from_gateway[0][1] = Behavior::Silent;
    }
    fleet.run(SECOND * 6);
    let site = fleet.site(0, 0);
    assert!(!site.state.is_out_of_service(), "{site:?}");
    assert_eq!(site.evidence.silent_endpoints, 2);
}

#[test]
fn site_is_not_lost_when_one_endpoint_of_four_refuses_connections() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND);
    for seen_from_gateway in &mut fleet.behavior {
        seen_from_gateway[0][0] = Behavior::Refuses;
    }
    for _ in 0..500 {
        fleet.run(millis(10));
        assert!(!fleet.state(0, 0).is_out_of_service());
    }
}

#[test]
fn site_is_not_lost_by_refusals_of_a_single_endpoint() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND);
    fleet.run(millis(100));
    let refused = |endpoint: u64| {
        Event::AttemptEnded(EndedAttempt {
            endpoint: EndpointId(endpoint),
            evidence: AttemptEvidence::Unreachable,
            latency: millis(1),
            objective: SECOND,
            units: 1.0,
        })
    };
    for endpoint in [0, 0, 0, 1] {
        fleet.handle(2, Event::AttemptSent(EndpointId(endpoint)));
    }
    for _ in 0..3 {
        fleet.handle(2, refused(0));
    }
    assert_eq!(fleet.state(2, 0), SiteState::Serving);
    fleet.handle(2, refused(1));
    for endpoint in [2, 3] {
        fleet.handle(2, Event::AttemptSent(EndpointId(endpoint)));
        fleet.handle(2, refused(endpoint));
    }
    assert_eq!(
        fleet.state(2, 0),
        SiteState::Lost,
        "all four endpoints refuse connections"
    );
}

#[test]
fn tenfold_latency_moves_load_to_other_sites_until_it_is_over() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, Behavior::Answers(millis(400)));
    fleet.run(SECOND * 10);
    let site = fleet.site(0, 0);
    assert!(!site.state.is_out_of_service(), "{site:?}");
    assert!(
        site.share < 0.7,
        "the gateway sends part of the load to other sites: {site:?}"
    );
    fleet.set_behavior(0, HEALTHY);
    fleet.run(SECOND * 60);
    let site = fleet.site(0, 0);
    assert!(site.share > 0.95, "the load has returned: {site:?}");
}

#[test]
fn all_sites_silent_distributes_load_by_size() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    for site in 0..3 {
        fleet.set_behavior(site, Behavior::Silent);
    }
    fleet.run(SECOND * 20);
    let plan = fleet.plan(0);
    let sum: f64 = plan.sites.iter().map(|site| site.share).sum();
    assert!(
        (sum - 1.0).abs() < 1e-9 && plan.sites.iter().all(|site| site.share > 0.2),
        "{plan:?}"
    );
    fleet.set_behavior(2, HEALTHY);
    fleet.run_until(SECOND * 30, |fleet| !fleet.state(0, 2).is_out_of_service());
}

#[test]
fn gateway_restarted_during_a_loss_detects_it_on_its_own() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND);
    fleet.set_behavior(0, Behavior::Refuses);
    fleet.run_until(SECOND * 2, |fleet| fleet.state(0, 0) == SiteState::Lost);
    fleet.cores[0] = FailoverCore::new(settings(0));
    fleet.publish_list();
    fleet.run_until(SECOND, |fleet| fleet.state(0, 0) == SiteState::Lost);
}

#[test]
fn probes_of_a_lost_site_are_few() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND);
    fleet.set_behavior(0, Behavior::Silent);
    fleet.run_until(SECOND * 3, |fleet| fleet.state(0, 0) == SiteState::Lost);
    let before = fleet.sent_attempts[0][0];
    fleet.run(SECOND * 10);
    let probes = fleet.sent_attempts[0][0] - before;
    // Probes are at most 2 % of 100 requests per second.
    assert!((1..=25).contains(&probes), "{probes} in ten seconds");
}

#[test]
fn doubtful_site_gets_a_quarter_of_its_share_and_returning_site_its_ramp_fraction() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, Behavior::Silent);
    fleet.run_until(SECOND, |fleet| fleet.state(0, 0) == SiteState::Doubtful);
    let site = fleet.site(0, 0);
    assert!(
        site.share < 0.1,
        "a quarter of a proportional share: {site:?}"
    );
    fleet.run_until(SECOND * 2, |fleet| fleet.state(0, 0) == SiteState::Lost);
    fleet.run(SECOND * 2);
    fleet.set_behavior(0, HEALTHY);
    fleet.run_until(SECOND * 5, |fleet| {
        fleet.state(0, 0) == SiteState::Returning
    });
    let site = fleet.site(0, 0);
    assert!(site.share < site.ramp_fraction * 0.4, "{site:?}");
}

#[test]
fn full_own_site_gets_what_it_answers_and_the_rest_goes_to_other_sites() {
    let mut fleet = Fleet::new();
    fleet.run(SECOND * 4);
    fleet.set_behavior(0, Behavior::Answers(millis(200)));
    let reported = |in_flight: f64| {
        [0, 1, 2, 3].map(|endpoint| EndpointConcurrency {
            endpoint: EndpointId(endpoint),
            in_flight,
            limit: 2.0,
        })
    };
    fleet.handle(0, Event::ConcurrencyReported(&reported(1.0)));
    assert_eq!(fleet.site(0, 0).share, 1.0, "half of the limit is free");
    // The offered load becomes about twice the recent throughput.
    for _ in 0..400 {
        let offered = Event::RequestOffered {
            weight_per_unit: 1.0,
            units: 1.0,
        };
        fleet.handle(0, offered);
    }
    fleet.handle(0, Event::ConcurrencyReported(&reported(2.0)));
    let site = fleet.site(0, 0);
    assert!(
        site.share < 0.6 && (site.concurrency.in_flight, site.concurrency.limit) == (8.0, 8.0),
        "{site:?}"
    );
}
