//! Commands to the thread of a stand-in. A command has been executed when the call that sends it returns.

use async_channel::{Receiver, Sender};
use std::sync::mpsc;

/// The end that gives commands.
pub(crate) struct CommandSender<C>(Sender<(C, Acknowledgement)>);

/// The end that executes them.
pub(crate) struct CommandReceiver<C>(Receiver<(C, Acknowledgement)>);

/// What is owed to whoever gave a command. Dropped, it lets them go on too.
pub(crate) struct Acknowledgement(mpsc::Sender<()>);

/// Both ends.
pub(crate) fn commands<C>() -> (CommandSender<C>, CommandReceiver<C>) {
    let (sender, receiver) = async_channel::unbounded();
    (CommandSender(sender), CommandReceiver(receiver))
}

impl<C> CommandSender<C> {
    /// Gives a command and waits until it has been executed, or the thread is gone.
    pub(crate) fn execute(&self, command: C) {
        let (acknowledge, executed) = mpsc::channel();
        let _ = self.0.try_send((command, Acknowledgement(acknowledge)));
        let _ = executed.recv();
    }

    /// Lets the thread end.
    pub(crate) fn close(&self) {
        self.0.close();
    }
}

impl<C> CommandReceiver<C> {
    /// The next command. `None`: there are no more.
    pub(crate) async fn next(&self) -> Option<(C, Acknowledgement)> {
        self.0.recv().await.ok()
    }
}

impl Acknowledgement {
    /// The command has been executed.
    pub(crate) fn send(self) {
        let _ = self.0.send(());
    }
}
