//! What the core makes of whole sites, by the hard cases of their loss.
mod world;

use chalkdeck_site_failover::{Command, Event, SiteId, State};
use world::{Is, World, MS, SECOND};

fn lost(w: &mut World) -> bool {
    (1..3).all(|g| w.state(g, 0) == State::Lost)
}

#[test]
fn in_calm_load_stays_near() {
    let mut w = World::new();
    w.run(5 * SECOND);
    for g in 0..3 {
        assert_eq!(w.view(g, g).share, 1.0);
        assert!(w.plan(g).sites.iter().all(|v| v.state == State::Serving));
    }
}

#[test]
fn a_site_whose_servers_refuse_is_lost_and_its_gateways_go_to_the_others() {
    let mut w = World::new();
    w.run(2 * SECOND);
    w.site_is(0, Is::Refusing);
    let took = w.until(SECOND, |w| w.state(0, 0) == State::Lost);
    assert!(took < 300 * MS, "noticed after {took}");
    let plan = w.plan(0);
    let (a, b) = (plan.sites[1].share, plan.sites[2].share);
    assert!(
        (a - b).abs() < 0.01 && a > 0.45,
        "both others bear it: {a} {b}"
    );
}

#[test]
fn a_silent_site_is_lost_whether_or_not_the_list_ever_tells() {
    for told in [true, false] {
        let mut w = World::new();
        w.run(2 * SECOND);
        w.site_is(0, Is::Silent);
        w.until(2 * SECOND, |w| w.state(0, 0) == State::Lost);
        w.run(5 * SECOND);
        if told {
            w.listed[0] = false;
            w.list();
            assert_eq!(w.state(1, 0), State::Lost, "by the list alone");
            assert_eq!(w.view(1, 0).share, 0.0);
        }
        w.run(SECOND);
        assert_eq!(w.state(0, 0), State::Lost);
        assert!(w.view(0, 0).share <= 0.02, "probes alone");
    }
}

#[test]
fn one_gateway_that_hears_only_its_own_site_takes_itself_for_cut_off() {
    let mut w = World::new();
    // It has some load at each, as after its own site was strained.
    w.is[0][0] = [Is::Up(450 * MS); 4];
    w.run(4 * SECOND);
    assert!(w.view(0, 1).share > 0.1, "{:?}", w.plan(0));
    w.is[0][1] = [Is::Silent; 4];
    w.is[0][2] = [Is::Silent; 4];
    w.until(4 * SECOND, |w| {
        (1..3).all(|s| w.state(0, s) == State::CutOff)
    });
    assert_eq!(
        (w.state(1, 2), w.state(2, 1)),
        (State::Serving, State::Serving),
        "the others see no trouble"
    );
}

#[test]
fn half_a_site_lost_is_no_loss_of_the_site() {
    let mut w = World::new();
    w.run(2 * SECOND);
    for from in &mut w.is {
        from[0][0] = Is::Silent;
        from[0][1] = Is::Silent;
    }
    w.run(6 * SECOND);
    let v = w.view(0, 0);
    assert!(!v.state.is_out(), "{v:?}");
    assert_eq!(v.evidence.silent, 2);
}

#[test]
fn ten_times_slower_is_strained_not_lost_and_the_rest_goes_elsewhere() {
    let mut w = World::new();
    w.run(2 * SECOND);
    w.site_is(0, Is::Up(400 * MS));
    w.run(10 * SECOND);
    let v = w.view(0, 0);
    assert!(!v.state.is_out(), "{v:?}");
    assert!(
        v.share < 0.7,
        "its gateway sends part of the load away: {v:?}"
    );
    w.site_is(0, Is::Up(40 * MS));
    w.run(60 * SECOND);
    assert!(
        w.view(0, 0).share > 0.95,
        "the detour is undone: {:?}",
        w.view(0, 0)
    );
}

#[test]
fn the_return_climbs_by_steps() {
    let mut w = World::new();
    w.run(2 * SECOND);
    w.site_is(0, Is::Refusing);
    w.until(2 * SECOND, |w| w.state(0, 0) == State::Lost);
    w.run(5 * SECOND);
    w.site_is(0, Is::Up(40 * MS));
    w.started[0] = Some(w.now);
    w.list();
    w.until(10 * SECOND, |w| w.state(0, 0) == State::Returning);
    let mut paces = vec![w.view(0, 0).pace];
    w.until(60 * SECOND, |w| {
        let pace = w.view(0, 0).pace;
        paces.extend((Some(&pace) != paces.last()).then_some(pace));
        w.state(0, 0) == State::Serving
    });
    assert!(paces.len() >= 6, "{paces:?}");
    assert!(
        paces.windows(2).all(|p| p[1] <= p[0] * 1.7),
        "no jump: {paces:?}"
    );
}

#[test]
fn a_doubt_in_the_return_gives_a_step_back() {
    let mut w = World::new();
    w.run(2 * SECOND);
    w.site_is(0, Is::Refusing);
    w.until(2 * SECOND, |w| w.state(0, 0) == State::Lost);
    w.run(2 * SECOND);
    w.site_is(0, Is::Up(40 * MS));
    w.until(30 * SECOND, |w| {
        w.state(0, 0) == State::Returning && w.view(0, 0).pace > 0.4
    });
    let before = w.view(0, 0).pace;
    w.site_is(0, Is::Up(480 * MS));
    w.until(5 * SECOND, |w| w.view(0, 0).pace < before);
    assert!(w.state(0, 0) == State::Returning);
}

#[test]
fn a_flapping_site_is_held_out_longer_each_time_up_to_a_bound() {
    let mut w = World::new();
    let mut holds = Vec::new();
    for _ in 0..8 {
        w.site_is(0, Is::Refusing);
        w.until(3 * SECOND, |w| w.state(0, 0) == State::Lost);
        holds.push(w.view(0, 0).evidence.held_until - w.now);
        w.site_is(0, Is::Up(40 * MS));
        w.until(80 * SECOND, |w| w.state(0, 0) != State::Lost);
    }
    assert!(holds.windows(2).all(|h| h[1] >= h[0]), "{holds:?}");
    assert!(
        holds[0] <= SECOND && holds[7] > 30 * SECOND && holds[7] <= 32 * SECOND,
        "{holds:?}"
    );
}

#[test]
fn an_operators_word_holds_whatever_the_site_answers() {
    let mut w = World::new();
    w.run(2 * SECOND);
    w.cores[0].on(w.now, Event::Command(SiteId(0), Command::Drain));
    w.run(5 * SECOND);
    let v = w.view(0, 0);
    assert_eq!((v.state, v.share), (State::HeldOut, 0.0));
    // Another is lost meanwhile: the third bears all, and the drained one stays out.
    w.site_is(1, Is::Refusing);
    w.until(3 * SECOND, |w| w.state(0, 1) == State::Lost);
    let plan = w.plan(0);
    assert!(
        plan.sites[0].share == 0.0 && plan.sites[2].share > 0.95,
        "{plan:?}"
    );
    w.cores[0].on(w.now, Event::Command(SiteId(0), Command::LetBack));
    assert_eq!(w.state(0, 0), State::Returning);
    w.until(40 * SECOND, |w| w.state(0, 0) == State::Serving);
}

#[test]
fn with_all_sites_silent_the_load_is_parted_by_size() {
    let mut w = World::new();
    w.run(2 * SECOND);
    (0..3).for_each(|s| w.site_is(s, Is::Silent));
    w.run(20 * SECOND);
    let plan = w.plan(0);
    let sum: f64 = plan.sites.iter().map(|v| v.share).sum();
    assert!(
        (sum - 1.0).abs() < 1e-9 && plan.sites.iter().all(|v| v.share > 0.2),
        "{plan:?}"
    );
    w.site_is(2, Is::Up(40 * MS));
    w.until(30 * SECOND, |w| !w.state(0, 2).is_out());
}

#[test]
fn a_gateway_restarted_inside_the_loss_learns_of_it_by_itself() {
    let mut w = World::new();
    w.run(SECOND);
    w.site_is(0, Is::Refusing);
    w.until(2 * SECOND, |w| lost(w) || w.state(0, 0) == State::Lost);
    w.cores[0] = chalkdeck_site_failover::Core::new(world::settings(0, 0));
    w.list();
    w.until(SECOND, |w| w.state(0, 0) == State::Lost);
}

#[test]
fn a_gateway_that_starts_beside_cold_servers_begins_as_after_a_return() {
    let mut w = World::new();
    w.started[0] = Some(w.now);
    w.cores[0] = chalkdeck_site_failover::Core::new(world::settings(0, 0));
    w.list();
    let v = w.view(0, 0);
    assert!(
        v.state == State::Returning && v.pace < 0.3 && v.share < 0.1,
        "{v:?}"
    );
}

#[test]
fn probes_of_a_lost_site_are_few() {
    let mut w = World::new();
    w.run(SECOND);
    w.site_is(0, Is::Silent);
    w.until(3 * SECOND, |w| w.state(0, 0) == State::Lost);
    let before = w.sent[0][0];
    w.run(10 * SECOND);
    let probes = w.sent[0][0] - before;
    // A hundred requests a second, two of a hundred at the most.
    assert!((1..=25).contains(&probes), "{probes} in ten seconds");
}

#[test]
fn two_sites_alone_are_told_apart_by_the_counter() {
    for (heard, state) in [(false, State::CutOff), (true, State::Lost)] {
        let mut w = World::new();
        w.listed[2] = false;
        w.is[0][0] = [Is::Up(450 * MS); 4];
        w.list();
        w.run(4 * SECOND);
        w.is[0][1] = [Is::Silent; 4];
        w.until(4 * SECOND, |w| {
            let now = w.now;
            w.cores[0].on(now, Event::Counter(heard));
            w.state(0, 1).is_out()
        });
        assert_eq!(w.state(0, 1), state);
    }
}

#[test]
fn a_server_that_restarts_does_not_make_its_site_return() {
    let mut w = World::new();
    w.started[0] = Some(1);
    w.now = 20 * SECOND;
    w.list();
    w.run(SECOND);
    w.started[0] = Some(w.now);
    w.list();
    assert_eq!(w.state(0, 0), State::Serving);
}

#[test]
fn a_site_in_doubt_keeps_a_quarter_and_one_that_returns_its_paces_part() {
    let mut w = World::new();
    w.run(2 * SECOND);
    w.site_is(0, Is::Silent);
    w.until(SECOND, |w| w.state(0, 0) == State::Doubtful);
    assert!(
        w.view(0, 0).share < 0.1,
        "a quarter of an even share: {:?}",
        w.view(0, 0)
    );
    w.until(2 * SECOND, |w| w.state(0, 0) == State::Lost);
    w.run(2 * SECOND);
    w.site_is(0, Is::Up(40 * MS));
    w.until(5 * SECOND, |w| w.state(0, 0) == State::Returning);
    let v = w.view(0, 0);
    assert!(v.share < v.pace * 0.4, "{v:?}");
}

#[test]
fn one_server_of_four_that_refuses_takes_no_site_along() {
    let mut w = World::new();
    w.run(SECOND);
    w.is.iter_mut().for_each(|from| from[0][0] = Is::Refusing);
    for _ in 0..500 {
        w.run(10 * MS);
        assert!(!w.state(0, 0).is_out());
    }
}

#[test]
fn a_held_out_site_gets_nothing_even_if_all_others_are_silent() {
    let mut w = World::new();
    w.run(SECOND);
    w.cores[0].on(w.now, Event::Command(SiteId(0), Command::Hold));
    (1..3).for_each(|s| w.site_is(s, Is::Silent));
    w.run(10 * SECOND);
    assert_eq!(w.view(0, 0).share, 0.0);
}

#[test]
fn a_site_of_warm_servers_serves_at_once_and_one_with_a_cold_one_nearly_so() {
    let mut w = World::new();
    assert_eq!(w.state(0, 0), State::Serving);
    let line = |server: u64, started| chalkdeck_site_failover::Listed {
        server,
        site: SiteId(0),
        in_service: true,
        weight: 1.0,
        started,
    };
    let mut core = chalkdeck_site_failover::Core::new(world::settings(0, 0));
    let lines = [
        line(0, Some(w.now)),
        line(1, None),
        line(2, None),
        line(3, Some(1)),
    ];
    w.now += 9 * SECOND;
    let lines = [
        chalkdeck_site_failover::Listed {
            started: Some(w.now),
            ..lines[0]
        },
        lines[1],
        lines[2],
        lines[3],
    ];
    core.on(w.now, Event::List(&lines));
    assert_eq!(core.plan(w.now).sites[0].pace, 0.75);
}

#[test]
fn refusals_of_one_server_and_a_moment_of_quiet_are_no_loss() {
    let mut w = World::new();
    w.run(SECOND);
    w.run(100 * MS);
    let (now, core) = (w.now, &mut w.cores[2]);
    for server in [0, 0, 0, 1] {
        core.on(now, Event::Sent(server));
    }
    (0..3).for_each(|_| {
        core.on(
            now,
            Event::Ended(0, chalkdeck_site_failover::How::Unreached, MS, SECOND, 1.0),
        )
    });
    assert_eq!(core.plan(now).sites[0].state, State::Serving);
    core.on(
        now,
        Event::Ended(1, chalkdeck_site_failover::How::Unreached, MS, SECOND, 1.0),
    );
    for server in [2, 3] {
        core.on(now, Event::Sent(server));
        core.on(
            now,
            Event::Ended(
                server,
                chalkdeck_site_failover::How::Unreached,
                MS,
                SECOND,
                1.0,
            ),
        );
    }
    assert_eq!(
        core.plan(now).sites[0].state,
        State::Lost,
        "all four refuse"
    );
}

#[test]
fn a_site_that_the_list_names_again_returns_with_its_first_answer_only() {
    let mut w = World::new();
    w.run(SECOND);
    w.listed[0] = false;
    w.list();
    assert_eq!(w.state(1, 0), State::Lost);
    w.listed[0] = true;
    w.now += 5 * SECOND;
    w.list();
    assert_eq!(w.state(1, 0), State::Lost, "nobody has heard of it yet");
    w.until(30 * SECOND, |w| w.state(1, 0) == State::Returning);
}

#[test]
fn a_near_site_with_all_places_taken_gets_what_comes_back_and_the_rest_goes_on() {
    let mut w = World::new();
    w.run(4 * SECOND);
    w.site_is(0, Is::Up(200 * MS));
    let places = |out: f64| [(0, out, 2.0), (1, out, 2.0), (2, out, 2.0), (3, out, 2.0)];
    w.cores[0].on(w.now, Event::Places(&places(1.0)));
    assert_eq!(w.view(0, 0).share, 1.0, "half of them are free");
    // Twice as much is offered as came back of late.
    (0..400).for_each(|_| w.cores[0].on(w.now, Event::Offered(1.0, 1.0)));
    w.cores[0].on(w.now, Event::Places(&places(2.0)));
    let v = w.view(0, 0);
    assert!(v.share < 0.6 && v.places == (8.0, 8.0), "{v:?}");
}
