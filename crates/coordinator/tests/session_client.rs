//! Tests of a gateway's session client: gaps in the watch events, acknowledged versions, renewals and incarnations.

use chalkdeck_coordinator::protocol::{
    wire, ClientMessage, ClientMessageKind, CommandKind, CommandResponse, Election, ResponseCode,
    ServerMessage, WatchEvent,
};
use chalkdeck_coordinator::session::{CachedState, SessionClient};
use chalkdeck_leader_election::{FencingToken, LeaseTerms};
use chalkdeck_time::Timestamp;

fn at_ms(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn open_session() -> wire::OpenSession {
    wire::OpenSession {
        gateway: "g".into(),
        site: "north".into(),
        incarnation: 7,
        candidate: true,
    }
}

fn event(version: u64, since: u64) -> WatchEvent {
    WatchEvent {
        version,
        since,
        cluster: 3,
        whole: since == 0,
        ..WatchEvent::default()
    }
}

fn message(event: WatchEvent) -> ServerMessage {
    ServerMessage {
        event: Some(event),
        ..ServerMessage::default()
    }
}

/// A client whose session has a valid lease, and whose outbox is empty.
fn client_with_valid_session(now: Timestamp) -> SessionClient {
    let mut session = SessionClient::new(
        open_session(),
        LeaseTerms::default(),
        CachedState::default(),
    );
    session.on_connected();
    session.receive(
        now,
        ServerMessage {
            session: 5,
            lease_us: 6_000_000,
            drift_ppm: 10_000,
            ..message(event(10, 0))
        },
    );
    session.tick(now);
    session.receive(
        now,
        ServerMessage {
            granted_renewal: 1,
            ..ServerMessage::default()
        },
    );
    assert!(session.is_valid(now));
    session.take_messages();
    session
}

/// The version that the last renewal in these messages acknowledges.
fn acknowledged_version(messages: &[ClientMessage]) -> Option<u64> {
    messages
        .iter()
        .rev()
        .find_map(|message| match &message.kind {
            Some(ClientMessageKind::Renewal(renewal)) => Some(renewal.applied_version),
            _ => None,
        })
}

#[test]
fn missing_events_are_requested_even_while_further_events_keep_arriving() {
    let mut session = client_with_valid_session(at_ms(0));
    let mut has_sent_hello = false;
    session.receive(at_ms(10), message(event(13, 12)));
    for i in 0..40 {
        let now = at_ms(20 + i * 20);
        session.receive(now, message(event(14 + i, 13 + i)));
        session.tick(now);
        has_sent_hello |= session
            .take_messages()
            .iter()
            .any(|message| matches!(message.kind, Some(ClientMessageKind::Hello(_))));
    }
    assert!(
        has_sent_hello,
        "a hello states the cached version, so that the replica sends the missing changes"
    );
    assert_eq!(
        session.state().version,
        10,
        "no event after the gap is applied"
    );
}

#[test]
fn a_version_is_acknowledged_only_once_the_cache_file_holds_it() {
    let mut session = client_with_valid_session(at_ms(0));
    session.on_state_persisted(at_ms(0), 10);
    let set = wire::RuleSet {
        customer: "c".into(),
        version: 1,
        otherwise: 1,
        stale: 1,
        ..Default::default()
    };
    session.receive(
        at_ms(10),
        message(WatchEvent {
            rules: vec![set],
            ..event(11, 10)
        }),
    );
    session.tick(at_ms(2_000));
    assert_eq!(
        acknowledged_version(&session.take_messages()),
        Some(10),
        "version 11 was received, but a restart would return to 10"
    );
    session.on_state_persisted(at_ms(2_010), 11);
    session.tick(at_ms(2_100));
    assert_eq!(
        acknowledged_version(&session.take_messages()),
        Some(11),
        "acknowledged early once it is in the cache file"
    );
    // An event without changes still advances the version.
    session.receive(at_ms(2_200), message(event(12, 11)));
    session.tick(at_ms(2_300));
    assert_eq!(acknowledged_version(&session.take_messages()), Some(12));
}

#[test]
fn a_session_is_not_renewed_while_no_replica_message_arrives() {
    let mut session = client_with_valid_session(at_ms(0));
    let mut last_renewal = Timestamp::ZERO;
    for now in (0..20_000).step_by(100).map(at_ms) {
        session.tick(now);
        if acknowledged_version(&session.take_messages()).is_some() {
            last_renewal = now;
        }
    }
    let half_lease = LeaseTerms::default().half_lease().as_micros();
    assert!(
        (half_lease / 2..half_lease).contains(&last_renewal.as_micros()),
        "the last renewal was sent at {last_renewal:?}"
    );
    // Renewals resume once a message arrives again.
    session.receive(
        at_ms(20_000),
        ServerMessage {
            session: 5,
            lease_us: 6_000_000,
            drift_ppm: 10_000,
            ..Default::default()
        },
    );
    session.tick(at_ms(20_000));
    assert!(acknowledged_version(&session.take_messages()).is_some());
}

#[test]
fn a_gateway_that_resigns_keeps_its_session_and_leads_nothing() {
    let mut session = client_with_valid_session(at_ms(0));
    let election = Election {
        name: "tally".into(),
        leader: 5,
        token: 9,
        ..Election::default()
    };
    session.receive(
        at_ms(10),
        message(WatchEvent {
            elections: vec![election.clone()],
            ..event(11, 10)
        }),
    );
    assert_eq!(
        session.leader_token("tally", at_ms(10)),
        Some(FencingToken(9))
    );
    session.resign();
    session.resign();
    let opens = session.take_messages().into_iter().filter(|message| {
        matches!(&message.kind, Some(ClientMessageKind::Command(command)) if matches!(&command.kind,
            Some(CommandKind::OpenSession(open)) if !open.candidate))
    });
    assert_eq!(opens.count(), 1);
    let moved = Election {
        leader: 6,
        token: 10,
        ..election
    };
    session.receive(
        at_ms(20),
        message(WatchEvent {
            elections: vec![moved],
            ..event(12, 11)
        }),
    );
    assert_eq!(
        (
            session.leader_token("tally", at_ms(20)),
            session.is_valid(at_ms(20))
        ),
        (None, true)
    );
}

#[test]
fn after_a_clock_rollback_a_gateway_adopts_a_later_incarnation_unless_it_had_a_session() {
    let rejection = CommandResponse {
        token: 900,
        code: ResponseCode::Refused as i32,
        ..CommandResponse::default()
    };
    let ended = ServerMessage {
        session_ended: true,
        response: Some(rejection),
        ..ServerMessage::default()
    };
    let incarnation = |session: &mut SessionClient| {
        session.on_connected();
        let hello = session
            .take_messages()
            .into_iter()
            .find_map(|message| match message.kind {
                Some(ClientMessageKind::Hello(hello)) => hello.open,
                _ => None,
            });
        hello.expect("a hello was sent").incarnation
    };
    let mut session = SessionClient::new(
        open_session(),
        LeaseTerms::default(),
        CachedState::default(),
    );
    session.on_connected();
    session.receive(at_ms(0), ended.clone());
    assert_eq!(incarnation(&mut session), 901);
    let mut session = client_with_valid_session(at_ms(0));
    session.receive(at_ms(0), ended);
    assert_eq!(
        incarnation(&mut session),
        7,
        "its reports are counted under its own incarnation"
    );
}
