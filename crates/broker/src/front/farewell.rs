//! The last moments of connections whose seat is wanted at once.
//!
//! A close over bytes that nobody has read is a reset, and a request may come in the very moment of the closing. So this side
//! is closed first, and what still comes is read and thrown away: after the closing nothing is taken any more, and its client,
//! which sees the end and no answer, asks again elsewhere.

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use plover_runtime::net::linger;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::rc::Rc;

/// One farewell for so many seats, and as many as the reserve of descriptors has for them less one at the most: that one is
/// being pushed out.
const SEATS_FOR_ONE: usize = 8;

/// Connections of a front that have no seat any more and are read on.
pub(super) struct Farewells {
    most: usize,
    /// Dropping a sender ends its connection's; the oldest first.
    held: RefCell<VecDeque<(u64, Sender<()>)>>,
    next: Cell<u64>,
    open: Cell<usize>,
}

/// A place among them, counted for as long as it lives.
pub(super) struct Place {
    farewells: Rc<Farewells>,
    number: u64,
    over: Receiver<()>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.farewells.held.borrow_mut().retain(|(number, _)| *number != self.number);
        self.farewells.open.set(self.farewells.open.get() - 1);
    }
}

impl Place {
    /// Closes this side of a connection, and reads on until its client has closed too, for a while.
    pub(super) async fn part(self, stream: &Async<TcpStream>) {
        let over = async {
            let _: Result<(), _> = self.over.recv().await;
            Ok(())
        };
        // Reading goes first, and so once more before the end.
        let _ = linger(stream).or(over).await;
    }
}

impl Farewells {
    /// For a front of so many seats, of which the reserve has so many for these.
    pub(super) fn new(seats: usize, reserved: usize) -> Rc<Self> {
        let most = (seats / SEATS_FOR_ONE).clamp(1, reserved.saturating_sub(1).max(1));
        Rc::new(Farewells { most, held: RefCell::default(), next: Cell::new(0), open: Cell::new(0) })
    }

    /// Connections that are open.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// A place for one more. Where there are too many, the oldest is closed: its client has had most time to see the end.
    pub(super) fn place(self: &Rc<Self>) -> Place {
        let number = self.next.get();
        self.next.set(number + 1);
        let (stay, over) = async_channel::bounded(1);
        let mut held = self.held.borrow_mut();
        held.push_back((number, stay));
        if held.len() > self.most {
            held.pop_front();
        }
        self.open.set(self.open.get() + 1);
        Place { farewells: self.clone(), number, over }
    }

    /// So many more may come at once: one at least where all that were to be closed have been.
    pub(super) fn places(&self) -> usize {
        match self.most.checked_sub(self.open.get()) {
            Some(free) => free.max(1),
            None => 0,
        }
    }

    /// Waits until those that were to be closed have been: who lets in one after another keeps to the reserve with this.
    pub(super) async fn settled(&self) {
        while self.open.get() > self.most {
            yield_now().await;
        }
    }
}
