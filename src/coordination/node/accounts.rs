//! Jobs by class and team, in the log and in the status.

use super::Node;
use crate::bookkeeping::accounts::Account;
use crate::coordination::Clock;
use crate::ids::{ClassIx, TeamIx};
use crate::protocol::operators::AccountView;

/// How often accounts that changed are shown in the log.
const SHOW_EVERY_MS: u64 = 30_000;

impl Node {
    /// A line for each party whose account changed.
    pub(super) fn show_accounts(&mut self, clock: Clock) {
        if clock.now < self.accounts_next || !self.ledger.loaded {
            return;
        }
        self.accounts_next = clock.now.plus(SHOW_EVERY_MS);
        let rows: Vec<Account> = self.mirror.accounts.rows().map(|(_, account)| account).collect();
        for (view, (row, at)) in self.accounts().iter().zip(rows.iter().zip(0..)) {
            if self.accounts_shown.get(at) != Some(row) {
                log::info!(
                    event = "account", team = view.team.as_str(), class = view.class.as_str();
                    "account {}/{}: accepted {}, started {}, done {}, withdrawn {}, told here {}",
                    view.team, view.class, view.accepted, view.started, view.done, view.withdrawn, view.told
                );
            }
        }
        self.accounts_shown = rows;
    }

    /// What the status tells of each party.
    pub(super) fn accounts(&self) -> Vec<AccountView> {
        let names = &self.mirror.names;
        let view = |(party, account): (Option<(TeamIx, ClassIx)>, Account)| {
            let name = party
                .map(|(team, class)| (names.teams.name_at(team.at()), names.classes.name_at(class.at())));
            let (team, class) = name.unwrap_or(("others", "others"));
            AccountView {
                team: team.into(),
                class: class.into(),
                accepted: account.accepted,
                started: account.started,
                done: account.done,
                withdrawn: account.withdrawn,
                told: account.told,
            }
        };
        self.mirror.accounts.rows().map(view).collect()
    }
}
