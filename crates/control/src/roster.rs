//! The list of servers, watched on a thread of its own: the watch is the broker's, and made for a single thread.

use crate::hub::{Event, Hub};
use async_channel::Sender;
use async_executor::LocalExecutor;
use plover_config::Config;
use plover_discovery::{Discovery, Sink, Start, Times};
use plover_model::time::millis;
use std::io;
use std::rc::Rc;
use std::thread::JoinHandle;

/// The watch. Dropped, it ends.
pub(crate) struct Roster {
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Roster {
    /// Watches as the configuration says, from its list on.
    pub(crate) fn start(hub: Hub, config: &Config) -> io::Result<Roster> {
        let (address, known, seed) = (config.discovery, config.known.clone(), config.seed);
        let times = Times::within(millis(config.settings.list_deadline));
        // Without a list that is known, changes of it say little.
        let index = (!known.targets.is_empty()).then_some(known.rev);
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::Builder::new().name("roster".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let sink: Sink = Rc::new(move |targets| hub.tell_blocking(Event::List(targets)));
            let start = Start { address, known: &known, index, seed, times, budget: None };
            let _watch = Discovery::start(executor.clone(), sink, start);
            async_io::block_on(executor.run(async {
                let _ = stopped.recv().await;
            }));
        })?;
        Ok(Roster { stop, thread: Some(thread) })
    }
}

impl Drop for Roster {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
