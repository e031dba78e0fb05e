package wire

// MessageType implements Message.
func (*Hello) MessageType() Type { return TypeHello }

// MessageType implements Message.
func (*Welcome) MessageType() Type { return TypeWelcome }

// MessageType implements Message.
func (*Start) MessageType() Type { return TypeStart }

// MessageType implements Message.
func (*Result) MessageType() Type { return TypeResult }

// MessageType implements Message.
func (*Settle) MessageType() Type { return TypeSettle }

// MessageType implements Message.
func (*Settled) MessageType() Type { return TypeSettled }

// MessageType implements Message.
func (*LoadReport) MessageType() Type { return TypeLoadReport }

// MessageType implements Message.
func (*Fence) MessageType() Type { return TypeFence }

// MessageType implements Message.
func (*FenceAck) MessageType() Type { return TypeFenceAck }

// MessageType implements Message.
func (*WorkerConfig) MessageType() Type { return TypeWorkerConfig }

// MessageType implements Message.
func (*Ping) MessageType() Type { return TypePing }

// MessageType implements Message.
func (*Pong) MessageType() Type { return TypePong }

// MessageType implements Message.
func (*Forward) MessageType() Type { return TypeForward }

// MessageType implements Message.
func (*ForwardReply) MessageType() Type { return TypeForwardReply }

// MessageType implements Message.
func (*Handover) MessageType() Type { return TypeHandover }

// MessageType implements Message.
func (*HandoverAck) MessageType() Type { return TypeHandoverAck }

// MessageType implements Message.
func (*Departure) MessageType() Type { return TypeDeparture }

// MessageType implements Message.
func (*DepartureAck) MessageType() Type { return TypeDepartureAck }

// MessageType implements Message.
func (*RosterUpdate) MessageType() Type { return TypeRosterUpdate }
