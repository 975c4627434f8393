//! Doubly linked lists that share one table of nodes. Each node is on at most one list, and every
//! operation takes amortized constant time.

/// The index that marks a missing neighbour at either end of a list.
const NO_NODE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Node {
    previous: u32,
    next: u32,
    /// The list that the node is on; `N` or greater if it is on no list.
    list: u8,
}

const UNLINKED_NODE: Node = Node {
    previous: NO_NODE,
    next: NO_NODE,
    list: u8::MAX,
};

#[derive(Clone, Copy)]
struct ListEnds {
    first: u32,
    last: u32,
    len: usize,
}

/// `N` lists of nodes, which the caller numbers from 0. The table grows to the highest number.
pub(crate) struct LinkedLists<const N: usize> {
    nodes: Vec<Node>,
    lists: [ListEnds; N],
}

impl<const N: usize> Default for LinkedLists<N> {
    fn default() -> Self {
        LinkedLists {
            nodes: Vec::new(),
            lists: [ListEnds {
                first: NO_NODE,
                last: NO_NODE,
                len: 0,
            }; N],
        }
    }
}

/// Converts an index to `None` if it is [`NO_NODE`].
fn to_option(node: u32) -> Option<u32> {
    Some(node).filter(|node| *node != NO_NODE)
}

impl<const N: usize> LinkedLists<N> {
    /// Returns the number of nodes on a list.
    pub(crate) fn len(&self, list: usize) -> usize {
        self.lists[list].len
    }

    /// Returns the first node of a list, which was added before all others.
    pub(crate) fn first(&self, list: usize) -> Option<u32> {
        to_option(self.lists[list].first)
    }

    /// Returns the node that follows this node on its list.
    pub(crate) fn next(&self, node: u32) -> Option<u32> {
        to_option(self.nodes.get(node as usize)?.next)
    }

    /// Returns the last node of a list, which was added after all others.
    pub(crate) fn last(&self, list: usize) -> Option<u32> {
        to_option(self.lists[list].last)
    }

    /// Returns the node that precedes this node on its list.
    pub(crate) fn previous(&self, node: u32) -> Option<u32> {
        to_option(self.nodes.get(node as usize)?.previous)
    }

    /// Returns the list that a node is on; `None` if it is on no list.
    pub(crate) fn list_of(&self, node: u32) -> Option<usize> {
        self.nodes
            .get(node as usize)
            .map(|node| node.list as usize)
            .filter(|list| *list < N)
    }

    /// Appends a node to a list, after removing it from the list that it is on.
    pub(crate) fn push_back(&mut self, list: usize, node: u32) {
        self.remove(node);
        let index = node as usize;
        if index >= self.nodes.len() {
            self.nodes.resize(index + 1, UNLINKED_NODE);
        }
        let ends = &mut self.lists[list];
        self.nodes[index] = Node {
            previous: ends.last,
            next: NO_NODE,
            list: list as u8,
        };
        match ends.last {
            NO_NODE => ends.first = node,
            last => self.nodes[last as usize].next = node,
        }
        ends.last = node;
        ends.len += 1;
    }

    /// Removes a node from its list, if it is on a list.
    pub(crate) fn remove(&mut self, node: u32) {
        let Some(list) = self.list_of(node) else {
            return;
        };
        let removed = self.nodes[node as usize];
        let ends = &mut self.lists[list];
        match removed.previous {
            NO_NODE => ends.first = removed.next,
            previous => self.nodes[previous as usize].next = removed.next,
        }
        match removed.next {
            NO_NODE => ends.last = removed.previous,
            next => self.nodes[next as usize].previous = removed.previous,
        }
        ends.len -= 1;
        self.nodes[node as usize] = UNLINKED_NODE;
    }
}
