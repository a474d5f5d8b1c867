//! A gateway's side of its session: what it says when something is missing, and what it may say that it applies.

use chalkdeck_coordinator::session::{Held, Session};
use chalkdeck_leader_election::LeaseTerms;
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use wire::up::What;

const MS: u64 = 1_000;

fn open() -> wire::Open {
    wire::Open {
        gateway: "g".into(),
        site: "north".into(),
        incarnation: 7,
        candidate: true,
    }
}

fn news(version: u64, since: u64) -> wire::News {
    wire::News {
        version,
        since,
        cluster: 3,
        whole: since == 0,
        ..wire::News::default()
    }
}

fn down(news: wire::News) -> wire::Down {
    wire::Down {
        news: Some(news),
        ..wire::Down::default()
    }
}

/// A session that stands, with its renewals said.
fn standing(now: u64) -> Session {
    let mut session = Session::new(open(), LeaseTerms::default(), Held::default());
    session.connected();
    session.down(
        now,
        wire::Down {
            session: 5,
            lease_us: 6_000_000,
            drift: 10_000,
            ..down(news(10, 0))
        },
    );
    session.tick(now);
    session.down(
        now,
        wire::Down {
            granted: 1,
            ..wire::Down::default()
        },
    );
    assert!(session.stands(now));
    session.take_out();
    session
}

fn applied(ups: &[wire::Up]) -> Option<u64> {
    ups.iter().rev().find_map(|up| match &up.what {
        Some(What::Renewal(renewal)) => Some(renewal.applied),
        _ => None,
    })
}

#[test]
fn a_gap_is_asked_for_however_often_news_come() {
    let (mut session, mut said) = (standing(0), false);
    session.down(10 * MS, down(news(13, 12)));
    for i in 0..40 {
        let now = 20 * MS + i * 20 * MS;
        session.down(now, down(news(14 + i, 13 + i)));
        session.tick(now);
        said |= session
            .take_out()
            .iter()
            .any(|up| matches!(up.what, Some(What::Hello(_))));
    }
    assert!(
        said,
        "it says what it holds, so that the keeper tells the rest"
    );
    assert_eq!(session.held.version, 10, "and applies nothing over the gap");
}

#[test]
fn no_version_is_said_to_be_applied_that_the_disk_lacks() {
    let mut session = standing(0);
    session.kept(0, 10);
    let set = wire::RuleSet {
        customer: "c".into(),
        version: 1,
        otherwise: 1,
        stale: 1,
        ..Default::default()
    };
    session.down(
        10 * MS,
        down(wire::News {
            rules: vec![set],
            ..news(11, 10)
        }),
    );
    session.tick(2_000 * MS);
    assert_eq!(
        applied(&session.take_out()),
        Some(10),
        "held, but a restart would go back"
    );
    session.kept(2_010 * MS, 11);
    session.tick(2_100 * MS);
    assert_eq!(
        applied(&session.take_out()),
        Some(11),
        "and said soon once it is kept"
    );
    // What need not be kept moves the version on all the same.
    session.down(2_200 * MS, down(news(12, 11)));
    session.tick(2_300 * MS);
    assert_eq!(applied(&session.take_out()), Some(12));
}

#[test]
fn a_session_that_hears_nothing_is_renewed_no_more() {
    let (mut session, mut last) = (standing(0), 0);
    for now in (0..20_000 * MS).step_by(100_000) {
        session.tick(now);
        if applied(&session.take_out()).is_some() {
            last = now;
        }
    }
    let half = LeaseTerms::default().lease.as_micros() / 2;
    assert!(
        (half / 2..half).contains(&last),
        "its last renewal goes at {last}"
    );
    // Heard again, it goes on.
    session.down(
        20_000 * MS,
        wire::Down {
            session: 5,
            lease_us: 6_000_000,
            drift: 10_000,
            ..Default::default()
        },
    );
    session.tick(20_000 * MS);
    assert!(applied(&session.take_out()).is_some());
}

#[test]
fn one_that_resigns_keeps_its_session_and_holds_nothing() {
    let mut session = standing(0);
    let duty = wire::Duty {
        name: "tally".into(),
        holder: 5,
        token: 9,
        ..wire::Duty::default()
    };
    session.down(
        10 * MS,
        down(wire::News {
            duties: vec![duty.clone()],
            ..news(11, 10)
        }),
    );
    assert_eq!(session.holds("tally", 10 * MS), Some(9));
    session.resign();
    session.resign();
    let opens = session.take_out().into_iter().filter(|up| {
        matches!(&up.what, Some(What::Command(c)) if matches!(&c.what,
            Some(wire::command::What::Open(open)) if !open.candidate))
    });
    assert_eq!(opens.count(), 1);
    let moved = wire::Duty {
        holder: 6,
        token: 10,
        ..duty
    };
    session.down(
        20 * MS,
        down(wire::News {
            duties: vec![moved],
            ..news(12, 11)
        }),
    );
    assert_eq!(
        (session.holds("tally", 20 * MS), session.stands(20 * MS)),
        (None, true)
    );
}

#[test]
fn a_gateway_whose_date_was_set_back_takes_a_later_life_and_one_that_had_a_session_does_not() {
    let refused = wire::Answer {
        token: 900,
        code: wire::answer::Code::Refused as i32,
        ..wire::Answer::default()
    };
    let ended = wire::Down {
        ended: true,
        answer: Some(refused),
        ..wire::Down::default()
    };
    let life = |session: &mut Session| {
        session.connected();
        let hello = session.take_out().into_iter().find_map(|up| match up.what {
            Some(What::Hello(hello)) => hello.open,
            _ => None,
        });
        hello.expect("it says hello").incarnation
    };
    let mut session = Session::new(open(), LeaseTerms::default(), Held::default());
    session.connected();
    session.down(0, ended.clone());
    assert_eq!(life(&mut session), 901);
    let mut session = standing(0);
    session.down(0, ended);
    assert_eq!(
        life(&mut session),
        7,
        "what it reported counts under its own"
    );
}
