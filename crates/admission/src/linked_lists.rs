//! Doubly linked lists threaded through one table of nodes: each node is on one list at most, and
//! every operation takes constant time.

/// Stands for the missing neighbour of a node at an end of its list.
const NO_NODE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Node {
    previous: u32,
    next: u32,
    /// The list that the node is on; `N` or above if it is on none.
    list: u8,
}

const UNLINKED: Node = Node {
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

/// `N` lists over nodes numbered from 0.
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

fn existing(node: u32) -> Option<u32> {
    Some(node).filter(|node| *node != NO_NODE)
}

impl<const N: usize> LinkedLists<N> {
    /// The number of nodes on a list.
    pub(crate) fn len(&self, list: usize) -> usize {
        self.lists[list].len
    }

    /// The node that has been on a list for longest.
    pub(crate) fn first(&self, list: usize) -> Option<u32> {
        existing(self.lists[list].first)
    }

    /// The node that follows another on its list.
    pub(crate) fn next(&self, node: u32) -> Option<u32> {
        existing(self.nodes.get(node as usize)?.next)
    }

    /// The node that was added last to a list.
    pub(crate) fn last(&self, list: usize) -> Option<u32> {
        existing(self.lists[list].last)
    }

    /// The node that precedes another on its list.
    pub(crate) fn previous(&self, node: u32) -> Option<u32> {
        existing(self.nodes.get(node as usize)?.previous)
    }

    /// The list that a node is on.
    pub(crate) fn list_of(&self, node: u32) -> Option<usize> {
        self.nodes
            .get(node as usize)
            .map(|node| node.list as usize)
            .filter(|list| *list < N)
    }

    /// Moves a node to the end of a list, from whichever list it was on.
    pub(crate) fn push_back(&mut self, list: usize, node: u32) {
        self.remove(node);
        let index = node as usize;
        if index >= self.nodes.len() {
            self.nodes.resize(index + 1, UNLINKED);
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

    /// Takes a node off its list, if it is on one.
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
        self.nodes[node as usize] = UNLINKED;
    }
}
