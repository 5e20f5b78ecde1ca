//! The list of servers, watched on a thread of its own: the watch is the broker's, and made for a single thread.

use crate::hub::{Event, Hub};
use async_channel::Sender;
use async_executor::LocalExecutor;
use plover_discovery::{Discovery, Sink};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;

/// The watch. Dropped, it ends.
pub(crate) struct Roster {
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl Roster {
    /// Watches at this address, from this version on; `None`: from the whole list on.
    pub(crate) fn start(hub: Hub, address: SocketAddr, rev: Option<u64>) -> io::Result<Roster> {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread = std::thread::Builder::new().name("roster".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let sink: Sink = Rc::new(move |targets| hub.tell_blocking(Event::List(targets)));
            let _watch = Discovery::start(executor.clone(), sink, address, rev, None);
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
