//! Gateways' streams at this keeper: what came on them, what they hold.

use super::{Asker, ForWhom, Keeper, Pending};
use chalkdeck_proto::chalkdeck::keeper::v1 as wire;
use wire::answer::Code;
use wire::up::What;

/// Streams at one keeper.
const MOST_ATTACHED: usize = 2_000;

/// One stream.
#[derive(Debug, Default)]
pub(super) struct Attached {
    session: u64,
    /// The version of the state that was told.
    told: u64,
    /// Renewals that wait for the next batch: number and version applied.
    renewal: Option<(u64, u64)>,
    /// A hint was told: what waits for a duty's holder.
    hints: (bool, bool, bool),
}

impl Keeper {
    /// Something came on a gateway's stream.
    pub fn up(&mut self, asker: Asker, up: wire::Up) {
        match up.what {
            Some(What::Hello(hello)) => self.hello(asker, hello),
            Some(What::Renewal(renewal)) => {
                if let Some(attached) = self
                    .attached
                    .get_mut(&asker)
                    .filter(|a| a.session == renewal.session)
                {
                    let (number, applied) = attached.renewal.unwrap_or_default();
                    attached.renewal =
                        Some((number.max(renewal.number), applied.max(renewal.applied)));
                } else {
                    self.end(asker);
                }
            }
            Some(What::Report(report)) if self.is_configured() => {
                let number = report.number;
                self.put(
                    wire::command::What::Report(report),
                    ForWhom::Report(asker, number),
                );
            }
            Some(What::Command(command)) => {
                let number = command.number;
                match self.refusal(&command) {
                    Some(answer) => self.down(
                        asker,
                        wire::Down {
                            answered: number,
                            answer: Some(answer),
                            ..Default::default()
                        },
                    ),
                    None => self.put_for(command, ForWhom::Gateway(asker, number)),
                }
            }
            Some(What::Look(request)) => {
                let looked = Some(self.looked(&request));
                self.down(
                    asker,
                    wire::Down {
                        looked,
                        ..wire::Down::default()
                    },
                );
            }
            Some(What::Report(_)) | None => {}
        }
    }

    /// A stream is over. Its session lasts on until it lapses: the gateway may come back over another one.
    pub fn gone(&mut self, asker: Asker) {
        self.attached.remove(&asker);
    }

    fn hello(&mut self, asker: Asker, hello: wire::Hello) {
        let Some(open) = hello.open else {
            return self.end(asker);
        };
        if !self.is_configured() || self.attached.len() >= MOST_ATTACHED {
            return self.end(asker);
        }
        // What it holds of another fleet's state says nothing; one that is ahead of this keeper hears nothing older.
        let told = if hello.cluster == self.state.cluster {
            hello.held
        } else {
            0
        };
        let mut attached = Attached {
            told,
            ..Attached::default()
        };
        let same =
            |s: &&wire::Session| s.incarnation == open.incarnation && s.gateway == open.gateway;
        let known = self.state.session(hello.session).filter(same).map(|s| s.id);
        if let Some(session) = known {
            attached.session = session;
            self.attached.insert(asker, attached);
            return self.opened(asker, session);
        }
        self.attached.insert(asker, attached);
        self.put(wire::command::What::Open(open), ForWhom::Open(asker));
    }

    /// A session stands; all that it has missed follows with it.
    fn opened(&mut self, asker: Asker, session: u64) {
        let Some(attached) = self.attached.get_mut(&asker) else {
            return;
        };
        attached.session = session;
        // What a gateway keeps on its disk has no duties.
        let duties = self.state.duties().cloned().collect();
        let news = wire::News {
            duties,
            ..self.state.news(attached.told)
        };
        attached.told = attached.told.max(news.version);
        attached.hints = (news.proposals, news.unfolded, news.unpublished);
        let terms = self.set.terms;
        let down = wire::Down {
            session,
            news: Some(news),
            lease_us: terms.lease.as_micros(),
            drift: terms.drift_ppm,
            ..wire::Down::default()
        };
        self.down(asker, down);
    }

    fn end(&mut self, asker: Asker) {
        self.down(
            asker,
            wire::Down {
                ended: true,
                ..wire::Down::default()
            },
        );
    }
    pub(super) fn down(&mut self, asker: Asker, down: wire::Down) {
        self.out.push(super::Out::Down(asker, Box::new(down)));
    }

    /// The renewals of a turn go into the log as one command.
    pub(super) fn flush_renewals(&mut self) {
        if !self.is_configured() {
            return;
        }
        let mut waiting: Vec<(Asker, u64, u64, u64)> = Vec::new();
        for (asker, attached) in &mut self.attached {
            if let Some((number, applied)) = attached.renewal.take() {
                waiting.push((*asker, attached.session, number, applied));
            }
        }
        if waiting.is_empty() {
            return;
        }
        waiting.sort_unstable();
        let sessions = waiting
            .iter()
            .map(|w| wire::Renewed {
                session: w.1,
                applied: w.3,
            })
            .collect();
        let renew = wire::Renew {
            sessions,
            keeper: self.own(),
            batch: 0,
        };
        let granted = waiting.into_iter().map(|w| (w.0, w.1, w.2)).collect();
        self.put(
            wire::command::What::Renew(renew),
            ForWhom::Renewals(granted),
        );
    }

    /// A command of this keeper's was agreed on.
    pub(super) fn answered(&mut self, pending: Pending, answer: wire::Answer) {
        match pending.for_whom {
            ForWhom::Asker(asker) => self.out.push(super::Out::Answer(asker, answer)),
            ForWhom::Gateway(asker, number) => {
                self.down(
                    asker,
                    wire::Down {
                        answered: number,
                        answer: Some(answer),
                        ..wire::Down::default()
                    },
                );
            }
            ForWhom::Open(asker) if answer.id > 0 => self.opened(asker, answer.id),
            ForWhom::Open(asker) => {
                self.down(
                    asker,
                    wire::Down {
                        ended: true,
                        answer: Some(answer),
                        ..wire::Down::default()
                    },
                );
            }
            ForWhom::Renewals(granted) => {
                for (asker, session, number) in granted {
                    // Renewed only where it still stood when that was agreed on.
                    if self.state.session(session).is_some() {
                        self.down(
                            asker,
                            wire::Down {
                                granted: number,
                                ..wire::Down::default()
                            },
                        );
                    } else {
                        self.end(asker);
                    }
                }
            }
            ForWhom::Report(asker, _) if answer.code == Code::NoSession as i32 => self.end(asker),
            ForWhom::Report(asker, number) => {
                self.down(
                    asker,
                    wire::Down {
                        reported: number,
                        ..wire::Down::default()
                    },
                );
            }
            ForWhom::Nobody => {}
        }
    }

    /// Tells streams what changed since what they were told.
    pub(super) fn news(&mut self) {
        let version = self.state.version;
        let hints = self.state.hints();
        let behind = |a: &Attached| a.session > 0 && (a.told < version || a.hints != hints);
        let mut askers: Vec<Asker> = self
            .attached
            .iter()
            .filter(|(_, a)| behind(a))
            .map(|(asker, _)| *asker)
            .collect();
        askers.sort_unstable();
        // Those that hold the same hear the same.
        let mut made: Option<(u64, wire::News)> = None;
        for asker in askers {
            let Some(attached) = self.attached.get_mut(&asker) else {
                continue;
            };
            let since = attached.told;
            (attached.told, attached.hints) = (version, hints);
            if made.as_ref().is_none_or(|(of, _)| *of != since) {
                made = Some((since, self.state.news(since)));
            }
            let news = made.as_ref().map(|(_, news)| news.clone());
            self.down(
                asker,
                wire::Down {
                    news,
                    ..wire::Down::default()
                },
            );
        }
    }
}
