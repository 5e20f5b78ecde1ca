//! Brokers of either kind, watched alike.

use super::{Real, Site, Spread, Window, await_reached};
use crate::hollow_broker::Hollows;
use crate::process::Usage;
use std::io;
use std::time::Duration;

/// Long enough for whatever is told to be everywhere.
const WITHIN: Duration = Duration::from_secs(60);

/// Brokers that watch a list.
#[derive(Debug)]
pub enum Watchers {
    /// Many to a process.
    Hollow(Hollows),
    /// Each a process of its own.
    Real(Vec<Real>),
}

/// What it cost to tell something to all.
#[derive(Clone, Debug)]
pub struct Told {
    /// Until all had it.
    pub window: Window,
    /// When each had it.
    pub spread: Spread,
}

impl Watchers {
    /// How many there are.
    pub fn count(&self) -> u32 {
        match self {
            Watchers::Hollow(hollows) => hollows.count(),
            Watchers::Real(brokers) => brokers.len() as u32,
        }
    }

    /// What all have used.
    pub fn usage(&self) -> io::Result<Usage> {
        match self {
            Watchers::Hollow(hollows) => hollows.usage(),
            Watchers::Real(brokers) => {
                brokers.iter().try_fold(Usage::default(), |sum, broker| Ok(sum + broker.usage()?))
            }
        }
    }

    /// Changes the first so many entries of the list, and waits until all have that: as changes, or as the whole list from
    /// a discovery that forgot its history. `boot_ms` is to be another one each time.
    pub fn tell(&self, site: &Site, many: u32, boot_ms: u64, whole: bool) -> io::Result<Told> {
        let change = site.restarted(many, boot_ms);
        let _ = site.discovery.take_reached();
        let mut spread = Spread::default();
        let window = Window::of(
            site,
            || self.usage(),
            || {
                let (rev, at) = site.discovery.publish(&change, whole)?;
                spread = await_reached(site, rev, at, self.count(), WITHIN);
                Ok(())
            },
        )?;
        Ok(Told { window, spread })
    }

    /// Waits until all watch, and for so long more.
    pub fn settle(&self, site: &Site, settles: Duration) -> io::Result<()> {
        site.await_watchers(self.count(), WITHIN)?;
        std::thread::sleep(settles);
        Ok(())
    }

    /// What they cost while nothing happens for so long.
    pub fn rest(&self, site: &Site, time: Duration) -> io::Result<Window> {
        Window::of(
            site,
            || self.usage(),
            || {
                std::thread::sleep(time);
                Ok(())
            },
        )
    }
}
