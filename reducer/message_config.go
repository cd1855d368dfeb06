package reducer

import "github.com/rosemaryhatch/rosemaryhatch/tables"

// ConfigUpdate carries a version of both tables, as a document or as a delta. A node sends only its active version.
type ConfigUpdate struct {
	Document tables.Document // unless Delta is set
	Delta    *tables.Delta
	None     bool // answers a ConfigFetch: the sender has no newer version
}

// ConfigFetch requests the active version of the receiver if it is newer than Have. Have is zero if the sender has no
// version or needs the complete document.
type ConfigFetch struct{ Have tables.VersionID }

// ReadForPeer asks the receiver to read the platform's store in place of the sender, which the store does not answer, for
// substitute.RoleTTL.
type ReadForPeer struct{}

// ReadsForPeer answers ReadForPeer. Served says whether the store answers the sender.
type ReadsForPeer struct{ Served bool }

func (ConfigUpdate) message() {}
func (ConfigFetch) message()  {}
func (ReadForPeer) message()  {}
func (ReadsForPeer) message() {}
