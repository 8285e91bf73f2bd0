//! Random interleavings of ticket table operations, from fixed seeds.

use std::collections::HashSet;

use lagoon_core::id::{Epoch, Ticket};
use lagoon_core::ticket::{TicketDecision, TicketLimits, TicketTable};
use lagoon_core::unit::{Bytes, Millis, Timestamp};
use lagoon_core::work::Outcome;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEPS: usize = 4_000;

const LIMITS: TicketLimits = TicketLimits {
    outstanding: 64,
    answer_bytes: Bytes::new(2_000),
    lifetime: Millis::new(200),
};

struct Simulation {
    rng: SmallRng,
    // The current owner is last. The previous owner, which may still handle delayed calls, can precede it.
    tables: Vec<TicketTable>,
    issued: Vec<Ticket>,
    started: HashSet<Ticket>,
    now: Timestamp,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let first = TicketTable::new("cluj:3".parse().unwrap(), Epoch::new(1), LIMITS);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            tables: vec![first],
            issued: Vec::new(),
            started: HashSet::new(),
            now: Timestamp::from_millis(0),
        }
    }

    fn any_ticket(&mut self) -> Option<Ticket> {
        // Choose recent tickets more often, so that most steps use a live one.
        let count = self.issued.len();
        let window = if self.rng.random_bool(0.9) {
            count.min(40)
        } else {
            count
        };
        (window > 0).then(|| self.issued[count - 1 - self.rng.random_range(0..window)].clone())
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..self.tables.len());
        let Some(ticket) = self.any_ticket() else {
            let tickets = self.tables[index].issue(3, self.now).unwrap();
            return self.issued.extend(tickets);
        };
        let now = self.now;
        match self.rng.random_range(0..100) {
            0..15 => {
                let count = self.rng.random_range(0..4);
                let tickets = self.tables[index].issue(count, now).unwrap_or_default();
                self.issued.extend(tickets);
            }
            15..55 => {
                let fingerprint = self.rng.random_range(0..2);
                if self.tables[index].admit(&ticket, fingerprint, now) == TicketDecision::Run {
                    assert!(self.started.insert(ticket.clone()), "{ticket} ran twice");
                }
            }
            55..75 => {
                let answer = "x".repeat(self.rng.random_range(0..300));
                self.tables[index].complete(&ticket, Outcome::Succeeded(answer), now);
            }
            75..85 => self.tables[index].confirm(&ticket),
            85..97 => {
                self.now = now.after(Millis::new(self.rng.random_range(0..30)));
                self.tables[index].expire(self.now);
            }
            97 => self.hand_over(true),
            98 => self.hand_over(false),
            // The previous owner stops. The last table is the current owner.
            _ => drop(self.tables.drain(..self.tables.len() - 1)),
        }
        let table = self.tables.last().unwrap();
        assert!(table.outstanding() <= LIMITS.outstanding);
        assert!(table.answer_bytes() <= LIMITS.answer_bytes);
    }

    /// Replaces the owner, either by a planned handover of the table or by a crash that loses it.
    fn hand_over(&mut self, planned: bool) {
        let mut old = self.tables.pop().unwrap();
        let epoch = old.epoch().next();
        let mut new = TicketTable::new("cluj:3".parse().unwrap(), epoch, LIMITS);
        if planned {
            new.import(old.export()).unwrap();
            self.tables = vec![old, new];
        } else {
            self.tables = vec![new];
        }
    }
}

macro_rules! seeds {
    ($($name:ident: $seed:literal;)*) => {
        $(
            /// Guards against an order of calls in which a request runs twice with one ticket.
            #[test]
            fn $name() {
                let mut sim = Simulation::new($seed);
                for _ in 0..STEPS {
                    sim.step();
                }
                assert!(sim.started.len() > 100, "only {} tickets ran", sim.started.len());
            }
        )*
    };
}

seeds! {
    runs_once_seed_1: 1;
    runs_once_seed_2: 2;
    runs_once_seed_3: 3;
    runs_once_seed_4: 4;
    runs_once_seed_5: 5;
    runs_once_seed_6: 6;
    runs_once_seed_7: 7;
    runs_once_seed_8: 8;
}
